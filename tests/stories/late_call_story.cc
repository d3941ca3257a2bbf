#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "kernel/batch/gateway_core.h"
#include "kernel/batch/operator_source.h"
#include "tests/world/batch_world.h"
#include "tests/world/line_collector.h"

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

/** An entry, which usually knows its configuration; the test plays its callers and the store. */
class lone_entry {
 public:
  explicit lone_entry(bool configured = true) {
    const auto reads = Decide({}, millis(0));
    if (!configured) return;
    for (const auto& action : reads) {
      const auto* request = std::get_if<store_request>(&action);
      if (request == nullptr) continue;
      const auto* range = std::get_if<row_range>(&request->call);
      if (range == nullptr || range->table != source_.table()) continue;
      rows_result rows;
      rows.outcome = row_outcome::kDone;
      rows.revision = 3;
      rows.rows.push_back({source_.config_row(), "", 3, false});
      Take(Decide({store_reply{request->token, rows}}, millis(1)));
    }
  }

  void HandIn(millis now, millis wait) {
    answer_.reset();
    answers_ = 0;
    caller_call call;
    call.id = ++last_id_;
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
  /** Until then the store ends each connection that brings a job, a few milliseconds later. */
  void StoreResets(millis from, millis until) {
    constexpr millis kRoundTrip{9};
    int reset = 0;
    for (millis at = from + kRoundTrip; at <= until; at += kRoundTrip) {
      if (insertions_ == reset) {
        Wait(at);
      } else {
        reset = insertions_;
        StoreAnswers(row_outcome::kUnknown, at);
      }
    }
  }
  /** The store answers the entry's standing call for changes of the configuration. */
  void StoreTells(row_outcome outcome, millis now) {
    rows_result rows;
    rows.outcome = outcome;
    rows.revision = 3;
    Take(Decide({store_reply{feed_, rows}}, now));
  }
  void Wait(millis now) { Take(Decide({}, now)); }

  bool ready() const { return ready_; }
  int insertions() const { return insertions_; }

  /** Whether each repetition was the first insertion again, byte for byte. */
  bool same_insertion() const { return same_insertion_; }

  /** Answers to the last call; callers are owed one. */
  int answers() const { return answers_; }
  std::optional<call_answer> answer() const { return answer_; }

 private:
  std::vector<gateway_action> Decide(std::vector<gateway_event> events, millis now) {
    std::vector<gateway_action> actions;
    gateway_.Decide(events, now, actions);
    return actions;
  }
  void Take(const std::vector<gateway_action>& actions) {
    for (const auto& action : actions) {
      if (const auto* reply = std::get_if<caller_reply>(&action)) {
        answer_ = reply->answer;
        ++answers_;
      }
      if (const auto* change = std::get_if<readiness_change>(&action)) ready_ = change->ready;
      const auto* request = std::get_if<store_request>(&action);
      if (request == nullptr) continue;
      if (std::holds_alternative<row_feed>(request->call)) feed_ = request->token;
      const auto* change = std::get_if<row_transaction>(&request->call);
      if (change == nullptr || change->writes.front().at.table != kJobsTable) continue;
      const std::string& value = change->writes.front().value;
      if (insertions_ == 0) inserted_ = value;
      same_insertion_ = same_insertion_ && value == inserted_;
      insertion_ = request->token;
      ++insertions_;
    }
  }

  open_queue_source source_;
  std::unique_ptr<batch_record_codec> codec_ =
      std::move(record_codec_registry::Instance().Create("json").value());
  gateway_core gateway_{gateway_options{"e1", "10.0.0.1:7000"}, source_, *codec_};
  uint64_t last_id_ = 0;
  int64_t feed_ = 0;
  int64_t insertion_ = 0;
  std::string inserted_;
  bool same_insertion_ = true;
  bool ready_ = false;
  int insertions_ = 0;
  int answers_ = 0;
  std::optional<call_answer> answer_;
};

TEST_CASE("a job is handed in before the entry has a configuration") {
  const line_collector lines;
  lone_entry entry(false);
  entry.HandIn(millis(1), millis(3000));
  CHECK(entry.answer() == call_answer::kUnavailable);
  CHECK(entry.insertions() == 0);
  SUBCASE("and the log says that there is none, instead of an age") {
    CHECK(lines.text().find("config_age_ms=-1 ") != std::string::npos);
  }
}

TEST_CASE("a job is handed in by a caller that will soon give up") {
  lone_entry entry;

  SUBCASE("too soon for the store: it is refused as not done, and nothing is written") {
    entry.HandIn(millis(100), millis(30));
    CHECK(entry.insertions() == 0);
    CHECK(entry.answer() == call_answer::kUnavailable);
    CHECK(entry.answers() == 1);
  }
  SUBCASE("there is time for one try: it is accepted") {
    entry.HandIn(millis(100), millis(120));
    REQUIRE(entry.insertions() == 1);
    entry.StoreAnswers(row_outcome::kDone, millis(115));
    CHECK(entry.answer() == call_answer::kAccepted);
  }
}

TEST_CASE("a caller states a wait that is longer than any call is kept") {
  lone_entry entry;
  SUBCASE("as long as a number can say: the job is accepted like any other") {
    entry.HandIn(millis(100), millis(INT64_MAX));
    REQUIRE(entry.insertions() == 1);
    entry.StoreAnswers(row_outcome::kDone, millis(115));
    CHECK(entry.answer() == call_answer::kAccepted);
  }
  SUBCASE("a day, while the store answers nothing: the caller hears within a minute") {
    entry.HandIn(millis(100), millis(86400000));
    for (millis now(200); now < millis(60200); now += millis(200)) {
      entry.StoreAnswers(row_outcome::kUnknown, now);
    }
    CHECK(entry.answer() == call_answer::kOutcomeUnknown);
    CHECK(entry.answers() == 1);
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

TEST_CASE("the store turns away all that one entry asks of it") {
  constexpr millis kWait{3000};
  lone_entry entry;
  entry.HandIn(millis(100), kWait);
  for (int64_t at = 110; at < 1600; at += 160) {
    entry.StoreAnswers(row_outcome::kNotDone, millis(at));
    REQUIRE(entry.ready());
    entry.Wait(millis(at + 150));
    REQUIRE_FALSE(entry.answer().has_value());
  }
  entry.StoreAnswers(row_outcome::kNotDone, millis(1720));
  REQUIRE(entry.answer() == call_answer::kUnavailable);

  const int before = entry.insertions();
  const auto hand_in = [&] {
    entry.HandIn(millis(1800), kWait);
    REQUIRE(entry.insertions() == before + 1);
  };
  SUBCASE("it is not ready, so that new callers are led to other entries") {
    CHECK_FALSE(entry.ready());
    SUBCASE("until the store serves it again") {
      entry.StoreTells(row_outcome::kDone, millis(1750));
      CHECK(entry.ready());
    }
  }
  SUBCASE("further callers need not wait as long: they are sent elsewhere after one try") {
    hand_in();
    entry.StoreAnswers(row_outcome::kNotDone, millis(1810));
    CHECK(entry.answer() == call_answer::kUnavailable);
  }
  SUBCASE("and are served if the store is back at that try") {
    hand_in();
    entry.StoreAnswers(row_outcome::kDone, millis(1810));
    CHECK(entry.answer() == call_answer::kAccepted);
  }
  SUBCASE("once it has told changes again, a caller waits through a new refusal") {
    entry.StoreTells(row_outcome::kDone, millis(1750));
    hand_in();
    entry.StoreAnswers(row_outcome::kNotDone, millis(1810));
    CHECK_FALSE(entry.answer().has_value());
  }
  SUBCASE("a try without an answer is not a refusal: the next one has to settle it") {
    hand_in();
    entry.StoreAnswers(row_outcome::kUnknown, millis(1810));
    entry.StoreAnswers(row_outcome::kNotDone, millis(1820));
    CHECK_FALSE(entry.answer().has_value());
  }
}

TEST_CASE("the store stops to answer") {
  constexpr millis kWait{3000};
  lone_entry entry;
  entry.StoreTells(row_outcome::kUnknown, millis(100));

  SUBCASE("a job that comes then is not sent, since its outcome could not be told") {
    entry.HandIn(millis(120), kWait);
    CHECK(entry.insertions() == 0);
    REQUIRE_FALSE(entry.answer().has_value());
    SUBCASE("it is stored once the store answers again") {
      entry.Wait(millis(260));
      entry.StoreTells(row_outcome::kDone, millis(500));
      REQUIRE(entry.insertions() == 1);
      entry.StoreAnswers(row_outcome::kDone, millis(510));
      CHECK(entry.answer() == call_answer::kAccepted);
    }
    SUBCASE("or refused as not done, long before its caller gives up") {
      entry.Wait(millis(1500));
      REQUIRE_FALSE(entry.answer().has_value());
      entry.Wait(millis(1650));
      CHECK(entry.answer() == call_answer::kUnavailable);
      CHECK(entry.insertions() == 0);
      CHECK_FALSE(entry.ready());
    }
  }
  SUBCASE("a job that comes after long silence is refused at once") {
    entry.Wait(millis(1700));
    entry.HandIn(millis(1710), kWait);
    CHECK(entry.answer() == call_answer::kUnavailable);
    CHECK(entry.answers() == 1);
    CHECK(entry.insertions() == 0);
  }
}

TEST_CASE("an engineer reads the log of an entry") {
  const line_collector lines;
  const auto says = [&](std::string_view text) {
    return lines.text().find(text) != std::string::npos;
  };
  lone_entry entry;
  entry.StoreTells(row_outcome::kUnknown, millis(100));
  entry.Wait(millis(260));

  SUBCASE("one call that fails is no loss of the store") {
    entry.StoreTells(row_outcome::kDone, millis(300));
    CHECK_FALSE(says("store-lost"));
    CHECK_FALSE(says("store-regained"));
  }
  SUBCASE("two in a row are, and it says for how long nothing was served") {
    entry.StoreTells(row_outcome::kUnknown, millis(300));
    CHECK(says("event=store-lost unserved_ms=200 silent=1"));
    entry.Wait(millis(460));
    entry.StoreTells(row_outcome::kDone, millis(500));
    CHECK(says("event=store-regained unserved_ms=400 unserved_calls=2"));
  }
}

TEST_CASE("the store leaves a job unanswered") {
  constexpr millis kWait{3000};
  lone_entry entry;
  entry.HandIn(millis(100), kWait);
  REQUIRE(entry.insertions() == 1);
  entry.StoreAnswers(row_outcome::kUnknown, millis(200));

  SUBCASE("it is sent again until that is settled, and its caller hears the truth") {
    REQUIRE(entry.insertions() == 2);
    entry.StoreAnswers(row_outcome::kUnknown, millis(2000));
    entry.Wait(millis(2910));
    CHECK(entry.answer() == call_answer::kOutcomeUnknown);
  }
  SUBCASE("an answer to its next try shows that the store serves others too") {
    entry.StoreAnswers(row_outcome::kDone, millis(210));
    REQUIRE(entry.answer() == call_answer::kAccepted);
    entry.HandIn(millis(220), kWait);
    CHECK(entry.insertions() == 3);
  }
}

TEST_CASE("the store resets each connection that brings a job") {
  constexpr millis kWait{3000};
  constexpr millis kBegin{100};
  constexpr millis kEnd{600};
  lone_entry entry;
  entry.HandIn(kBegin, kWait);
  REQUIRE(entry.insertions() == 1);

  SUBCASE("the first repetition comes at once: only a kept connection may have ended") {
    entry.StoreAnswers(row_outcome::kUnknown, kBegin + millis(9));
    CHECK(entry.insertions() == 2);
  }
  SUBCASE("the further ones keep the pause between two tries, as after a refusal") {
    entry.StoreResets(kBegin, kEnd);
    const auto paced = static_cast<int>((kEnd - kBegin).count() / kStoreRetryPause.count());
    CHECK(entry.insertions() <= 2 + paced);
    CHECK(entry.insertions() >= 1 + paced);
    CHECK(entry.same_insertion());
    REQUIRE_FALSE(entry.answer().has_value());
    SUBCASE("and the job is accepted one pause after the store is back") {
      const int before = entry.insertions();
      entry.Wait(kEnd + kStoreRetryPause);
      REQUIRE(entry.insertions() == before + 1);
      entry.StoreAnswers(row_outcome::kDone, kEnd + kStoreRetryPause + millis(9));
      CHECK(entry.answer() == call_answer::kAccepted);
    }
  }
}

}  // namespace
}  // namespace eelgrass
