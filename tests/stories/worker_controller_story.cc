#include <doctest/doctest.h>

#include <span>
#include <vector>

#include "kernel/batch/worker_incarnations.h"

namespace eelgrass {
namespace {

/** Those of one kind. */
template <typename Call>
std::vector<Call> Only(std::span<const worker_call> calls) {
  std::vector<Call> found;
  for (const auto& call : calls) {
    if (const auto* wanted = std::get_if<Call>(&call)) found.push_back(*wanted);
  }
  return found;
}

/** The planner's order that answers a report, with a lease. */
worker_order OrderFor(int64_t report) {
  worker_order order;
  order.term = 5;
  order.sequence = report;
  order.worker = {"w1", 17};
  order.grant_sequence = report;
  order.grant_ms = 4000;
  return order;
}

TEST_CASE("an agent beside a worker follows a new planner") {
  worker_heartbeat beat;
  beat.worker.self = {"w1", 17};
  beat.sequence = 1;
  beat.clock_ms = 1000;
  worker_controller steward(beat, millis(0));
  std::vector<worker_call> calls;
  const auto holds = [&](millis now) {
    calls.clear();
    steward.Tick(now, calls);
    return Only<hold_call>(calls);
  };
  const auto answer = [&](int64_t term, call_outcome outcome, millis now, millis sent = millis(0),
                          int64_t life = 0) {
    hold_answer said;
    said.worker = {"w1", 17};
    said.sent = sent;
    said.fence = FenceOf(term, life);
    said.outcome = outcome;
    said.born_ms = 17;
    said.clock_ms = 1000 + now.count();
    steward.On(said, now);
  };
  steward.SetTerm(5, millis(0));
  REQUIRE(holds(millis(0)).size() == 1);

  SUBCASE("while a hold for the earlier one waits: the new fence is brought at once") {
    steward.SetTerm(8, millis(100));
    const auto next = holds(millis(100));
    REQUIRE(next.size() == 1);
    CHECK(next[0].fence == FenceOf(8, 0));
    SUBCASE("and the earlier answer, late, neither counts nor begins another") {
      answer(5, call_outcome::kDone, millis(400));
      CHECK(holds(millis(400)).empty());
      CHECK(steward.Report(1, millis(400)).term == 0);
      answer(8, call_outcome::kDone, millis(410), millis(100));
      CHECK(steward.Report(2, millis(410)).term == 8);
    }
  }
  SUBCASE("what runs is reported with its age, so that the new planner knows what stopping costs") {
    const auto lists = [&](std::vector<listed_run> running, millis now) {
      hold_answer said;
      said.worker = {"w1", 17};
      said.fence = FenceOf(5, 0);
      said.outcome = call_outcome::kDone;
      said.born_ms = 17;
      said.clock_ms = 1000 + now.count();
      said.running = std::move(running);
      steward.On(said, now);
    };
    const listed_run first{"a.0.0.0", 1, "", 0, 0};
    const listed_run second{"a.0.0.1", 2, "", 0, 0};
    lists({first}, millis(10));
    steward.Report(1, millis(10));
    lists({first, second}, millis(700));
    steward.Report(2, millis(700));
    const auto report = steward.Report(3, millis(1700));
    REQUIRE(report.running.size() == 2);
    CHECK(report.running[0].ran_ms == 1690);
    CHECK(report.running[1].ran_ms == 1000);
    SUBCASE("which begins anew with the worker") {
      worker_heartbeat reborn = beat;
      reborn.worker.self.born_ms = 18;
      reborn.sequence = 1;
      worker_incarnations lives;
      lives.SetTerm(5, millis(1900));
      lives.On(beat, millis(1900));
      lives.On(reborn, millis(2000));
      calls.clear();
      lives.Tick(millis(2000), calls);
      hold_answer said;
      said.worker = reborn.worker.self;
      said.fence = FenceOf(5, 1);
      said.sent = millis(2000);
      said.outcome = call_outcome::kDone;
      said.born_ms = 18;
      said.running = {first};
      lives.On(said, millis(2001));
      REQUIRE(lives.Find("w1")->self() == reborn.worker.self);
      const auto anew = lives.Find("w1")->Report(4, millis(2100));
      REQUIRE(anew.running.size() == 1);
      CHECK(anew.running[0].ran_ms == 0);
    }
  }
  SUBCASE("nobody listens at the worker's address: the planner hears of it at once") {
    answer(5, call_outcome::kDone, millis(10));
    CHECK(steward.Report(1, millis(10)).listed);
    answer(5, call_outcome::kConnectionRefused, millis(20));
    CHECK(steward.changed());
    CHECK_FALSE(steward.Report(2, millis(20)).listed);
    answer(5, call_outcome::kDone, millis(300));
    CHECK(steward.Report(3, millis(300)).listed);
  }
  SUBCASE("calls are not sent for another reason: the worker's lists count as without an answer") {
    answer(5, call_outcome::kDone, millis(10));
    CHECK(steward.Report(1, millis(10)).listed);
    answer(5, call_outcome::kNeverSent, millis(20));
    CHECK_FALSE(steward.changed());
    CHECK(steward.Report(2, millis(20)).listed);
    CHECK(steward.Report(3, millis(1500)).listed);
    CHECK_FALSE(steward.Report(4, millis(1520)).listed);
  }
  SUBCASE("a start that the planner gave up while the VM was suspended is not carried out") {
    answer(5, call_outcome::kDone, millis(10));
    steward.Report(1, millis(10));
    worker_order before = OrderFor(1);
    before.starts.push_back({"a.0.0.0", 1, "", ""});
    steward.On(before, millis(6000));  // read after the suspension: the grant is over
    steward.Report(2, millis(6000));
    steward.On(OrderFor(2), millis(6010));
    calls.clear();
    steward.Tick(millis(6010), calls);
    CHECK(Only<start_call>(calls).empty());
  }
  SUBCASE(
      "a later life under the worker's id gets a fence above all that was sent to former ones") {
    answer(5, call_outcome::kDone, millis(10));
    steward.Report(1, millis(10));
    worker_order order = OrderFor(1);
    order.life = 1;
    order.starts.push_back({"a.0.0.0", 1, "", ""});
    steward.On(order, millis(20));
    const auto next = holds(millis(20));
    REQUIRE(next.size() == 1);
    CHECK(next[0].fence > FenceOf(5, 0));
    CHECK(next[0].fence < FenceOf(6, 0));
    SUBCASE("and starts nothing before the life has confirmed it") {
      REQUIRE(calls.size() == 1);
      answer(5, call_outcome::kDone, millis(30), millis(0));
      CHECK(steward.Report(2, millis(30)).life == 0);
      answer(5, call_outcome::kDone, millis(40), millis(20), 1);
      CHECK(steward.Report(3, millis(40)).life == 1);
      calls.clear();
      steward.Tick(millis(40), calls);
      const auto starts = Only<start_call>(calls);
      REQUIRE_FALSE(starts.empty());
      CHECK(starts[0].fence == next[0].fence);
    }
  }
  SUBCASE("a start that was not answered is repeated once the life has answered again") {
    answer(5, call_outcome::kDone, millis(10));
    steward.Report(1, millis(10));
    worker_order order = OrderFor(1);
    order.starts.push_back({"a.0.0.0", 1, "", ""});
    steward.On(order, millis(20));
    const auto starts = [&](millis now) {
      calls.clear();
      steward.Tick(now, calls);
      return Only<start_call>(calls).size();
    };
    REQUIRE(starts(millis(20)) == 1);
    steward.On(
        start_answer{{"w1", 17}, {"a.0.0.0", 1}, 5, call_outcome::kNoAnswer, start_refusal::kRoom},
        millis(25));
    CHECK(starts(millis(30)) == 0);
    CHECK(starts(millis(300)) == 0);
    const auto asked = Only<hold_call>(calls);
    REQUIRE_FALSE(asked.empty());
    CHECK(asked[0].sent == millis(300));
    SUBCASE("and the answer to an earlier call does not count") {
      answer(5, call_outcome::kDone, millis(305), millis(0));
      CHECK(starts(millis(306)) == 0);
    }
    answer(5, call_outcome::kDone, millis(310), millis(300));
    CHECK(starts(millis(311)) == 1);
  }
}

}  // namespace
}  // namespace eelgrass
