#include <doctest/doctest.h>

#include <vector>

#include "kernel/batch/gateway_core.h"
#include "kernel/batch/operator_source.h"
#include "tests/world/batch_world.h"

namespace eelgrass {
namespace {

/** One queue that is open to everybody. */
class open_queue_source : public operator_source {
 public:
  std::string_view table() const override { return "operators"; }
  row_key config_row() const override { return {"operators", "", "config"}; }
  result<void> Apply(const row& change, millis, operator_state& state) const override {
    batch_config config;
    batch_queue queue;
    queue.name = "urgent";
    queue.host = "site";
    queue.path_prefix = "/urgent/";
    queue.open_to_all = true;
    config.queues = {queue};
    state.config = std::make_shared<const batch_config>(config);
    state.config_revision = change.revision;
    return Ok();
  }
};

/** An entry that knows its configuration; the test plays its callers and the store. */
class lone_entry {
 public:
  lone_entry() {
    const auto reads = Decide({}, millis(0));
    for (const auto& action : reads) {
      const auto* request = std::get_if<store_request>(&action);
      if (request == nullptr) continue;
      const auto* range = std::get_if<row_range>(&request->call);
      if (range == nullptr || range->table != source_.table()) continue;
      rows_result rows;
      rows.outcome = row_outcome::kDone;
      rows.revision = 3;
      rows.rows.push_back({source_.config_row(), "", 3, false});
      Decide({store_reply{request->token, rows}}, millis(1));
    }
  }

  void HandIn(millis now, millis wait) {
    caller_call call;
    call.id = 1;
    call.kind = call_kind::kSubmit;
    call.host = "site";
    call.path = "/urgent/5c0e7a21d94b36f8";
    call.wait = wait;
    call.job = MakeBatchJob("b36f8", "urgent", 1, millis(1000), 1);
    Take(Decide({call}, now));
  }
  void StoreAnswers(row_outcome outcome, millis now) {
    transaction_result result;
    result.outcome = outcome;
    Take(Decide({store_reply{insertion_, result}}, now));
  }
  void Wait(millis now) { Take(Decide({}, now)); }

  int insertions() const { return insertions_; }
  std::optional<call_answer> answer() const { return answer_; }

 private:
  std::vector<gateway_action> Decide(std::vector<gateway_event> events, millis now) {
    std::vector<gateway_action> actions;
    gateway_.Decide(events, now, actions);
    return actions;
  }
  void Take(const std::vector<gateway_action>& actions) {
    for (const auto& action : actions) {
      if (const auto* reply = std::get_if<caller_reply>(&action)) answer_ = reply->answer;
      const auto* request = std::get_if<store_request>(&action);
      if (request == nullptr || !std::holds_alternative<row_transaction>(request->call)) continue;
      insertion_ = request->token;
      ++insertions_;
    }
  }

  open_queue_source source_;
  std::unique_ptr<batch_record_codec> codec_ =
      std::move(record_codec_registry::Instance().Create("json").value());
  gateway_core gateway_{gateway_options{"e1", "10.0.0.1:7000"}, source_, *codec_};
  int64_t insertion_ = 0;
  int insertions_ = 0;
  std::optional<call_answer> answer_;
};

TEST_CASE("a job is handed in by a caller that will soon give up") {
  lone_entry entry;

  SUBCASE("too soon for the store: it is refused as not done, and nothing is written") {
    entry.HandIn(millis(100), millis(30));
    CHECK(entry.insertions() == 0);
    CHECK(entry.answer() == call_answer::kUnavailable);
  }
  SUBCASE("there is time for one try: it is accepted") {
    entry.HandIn(millis(100), millis(120));
    REQUIRE(entry.insertions() == 1);
    entry.StoreAnswers(row_outcome::kDone, millis(115));
    CHECK(entry.answer() == call_answer::kAccepted);
  }
}

TEST_CASE("the store turns a job away while the caller's time runs out") {
  lone_entry entry;
  entry.HandIn(millis(100), millis(600));  // to be answered by 500
  entry.StoreAnswers(row_outcome::kNotDone, millis(110));
  entry.Wait(millis(260));
  REQUIRE(entry.insertions() == 2);

  SUBCASE("another try could not end in time: the caller hears that nothing was done") {
    entry.StoreAnswers(row_outcome::kNotDone, millis(325));
    entry.Wait(millis(475));
    CHECK(entry.insertions() == 2);
    CHECK(entry.answer() == call_answer::kUnavailable);
  }
  SUBCASE("but a try without an answer is settled to the end, as it may have been done") {
    entry.StoreAnswers(row_outcome::kUnknown, millis(480));
    REQUIRE(entry.insertions() == 3);
    entry.StoreAnswers(row_outcome::kDone, millis(495));
    CHECK(entry.answer() == call_answer::kAccepted);
  }
}

}  // namespace
}  // namespace eelgrass
