#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "kernel/batch/planner_core.h"
#include "kernel/batch/term_election.h"
#include "standins/standin_rows.h"
#include "tests/world/batch_world.h"
#include "tests/world/timeline.h"

namespace eelgrass {
namespace {

constexpr millis kTick{50};
constexpr millis kStoreTime{8};
constexpr millis kFeedLook{2};

planner_options Options() {
  planner_options options;
  options.node = "entry-0";
  options.nonce = "nonce";
  options.peer_address = "10.0.0.1:7000";
  return options;
}

/** A planner without workers; the store tells changes at the end of a feed's wait only. */
class lone_planner {
 public:
  lone_planner() {
    Tick();
    RunFor(millis(10000));
    REQUIRE_FALSE(planner_.handed_over());
  }

  void RunFor(millis time) { events_.RunUntil(events_.now() + time); }

  /** Until the next call for changes of the jobs has reached the store. */
  void RunUntilFeed() {
    const int before = feeds_;
    while (feeds_ == before) RunFor(millis(1));
    RunFor(kStoreTime);
  }

  /** Another entry accepts a job, and its notice of that is lost. */
  void AcceptElsewhere(const batch_job& job) {
    row_transaction change;
    change.writes.push_back({{std::string(kJobsTable), "", job.id}, codec_->Encode(job)});
    rows_.Apply(change);
  }

  int64_t Cancel(const batch_job& job) {
    const int64_t id = ++last_inquiry_;
    Decide({local_gateway_message{InquiryOf(job, id)}});
    return id;
  }

  /** Another entry passes a cancelling on. */
  void CancelThrough(const std::string& entry, const batch_job& job, int64_t id) {
    Decide({peer_said{entry, InquiryOf(job, id)}});
  }

  void Connect(const std::string& entry) {
    peer_up up;
    up.peer.id = entry;
    up.peer.role = peer_role::kEntry;
    Decide({up});
  }

  void Disconnect(const std::string& entry) { Decide({peer_down{entry}}); }

  /** Replies to inquiries of other entries. */
  int replies_sent() const { return replies_sent_; }

  std::optional<job_reply> reply(int64_t inquiry) const {
    const auto found = replies_.find(inquiry);
    if (found == replies_.end()) return std::nullopt;
    return found->second;
  }

 private:
  static job_inquiry InquiryOf(const batch_job& job, int64_t id) {
    job_inquiry inquiry;
    inquiry.id = id;
    inquiry.job = job.id;
    inquiry.queue = job.queue;
    inquiry.question = job_question::kCancel;
    return inquiry;
  }

  void Tick() {
    Decide({});
    events_.After(kTick, [this] { Tick(); });
  }

  void Decide(std::vector<planner_event> events) {
    std::vector<planner_action> actions;
    planner_.Decide(events, events_.now(), events_.now(), actions);
    for (const auto& action : actions) {
      if (const auto* request = std::get_if<store_request>(&action)) Serve(*request);
      const auto* told = std::get_if<send_to_peer>(&action);
      if (told != nullptr && std::holds_alternative<job_reply>(told->message)) ++replies_sent_;
      const auto* sent = std::get_if<send_to_gateway>(&action);
      const auto* reply = sent == nullptr ? nullptr : std::get_if<job_reply>(&sent->message);
      if (reply != nullptr) replies_.insert_or_assign(reply->id, *reply);
    }
  }

  void Serve(const store_request& request) {
    if (const auto* range = std::get_if<row_range>(&request.call)) {
      Deliver({request.token, rows_.Read(*range)});
    } else if (const auto* change = std::get_if<row_transaction>(&request.call)) {
      Deliver({request.token, rows_.Apply(*change)});
    } else {
      const auto& feed = std::get<row_feed>(request.call);
      ++feeds_;
      events_.After(feed.wait + kFeedLook, [this, token = request.token, feed] {
        Deliver({token, rows_.Changes(feed.table, feed.after)});
      });
    }
  }

  void Deliver(store_reply reply) {
    std::visit([this](auto& answer) { answer.store_now = events_.now(); }, reply.answer);
    events_.After(kStoreTime, [this, reply = std::move(reply)] { Decide({reply}); });
  }

  timeline events_;
  standin_rows rows_;
  std::unique_ptr<batch_record_codec> codec_ =
      std::move(record_codec_registry::Instance().Create("json").value());
  std::unique_ptr<unit_order> order_ =
      std::move(unit_order_registry::Instance().Create("deadline").value());
  planner_core planner_{Options(), *codec_, *order_};
  std::map<int64_t, job_reply> replies_;
  int64_t last_inquiry_ = 0;
  int feeds_ = 0;
  int replies_sent_ = 0;
};

TEST_CASE("a job that was accepted is not called unknown to the caller that cancels it") {
  lone_planner planner;
  planner.RunUntilFeed();
  const batch_job job = MakeBatchJob("c1", "usual", 1, millis(500), 1);

  SUBCASE("while the planner has not heard of it; it is cancelled when it has") {
    planner.AcceptElsewhere(job);
    const int64_t cancel = planner.Cancel(job);
    planner.RunFor(millis(1000));
    CHECK_FALSE(planner.reply(cancel).has_value());
    planner.RunFor(millis(2000));
    REQUIRE(planner.reply(cancel).has_value());
    CHECK(planner.reply(cancel)->outcome == inquiry_outcome::kKnown);
    CHECK(planner.reply(cancel)->state == batch_state::kCancelled);
  }
  SUBCASE("but one that nobody has accepted is, once the planner's list is complete") {
    const int64_t cancel = planner.Cancel(job);
    planner.RunFor(millis(2500));
    REQUIRE(planner.reply(cancel).has_value());
    CHECK(planner.reply(cancel)->outcome == inquiry_outcome::kNoSuchJob);
  }
}

TEST_CASE("a cancelling of an entry that has gone is not answered to its next process") {
  lone_planner planner;
  planner.Connect("entry-1");
  planner.RunUntilFeed();
  planner.CancelThrough("entry-1", MakeBatchJob("c1", "usual", 1, millis(500), 1), 7);
  planner.RunFor(millis(100));

  SUBCASE("its connection was lost first") {
    planner.Disconnect("entry-1");
    planner.Connect("entry-1");
  }
  SUBCASE("the next process connects before that is noticed") { planner.Connect("entry-1"); }
  planner.RunFor(millis(2500));
  CHECK(planner.replies_sent() == 0);
}

}  // namespace
}  // namespace eelgrass
