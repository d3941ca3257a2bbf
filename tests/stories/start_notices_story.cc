#include <doctest/doctest.h>

#include <algorithm>

#include "kernel/batch/start_notices.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** A planner in domain a with one ordered start. */
struct ordering_planner {
  start_notices notices{"a"};
  open_starts starts;
  worker_profile worker;
  run_ref run{MakeBatchJob("a1", "usual", 1, millis(1000), 1).id + ".0.0.0", 701};
  std::vector<send_to_peer> sent;

  ordering_planner() {
    worker.self = {"w1", 100};
    worker.address = "w1:80";
  }
  void Order(millis now) { starts.Order(worker, "agent-1", run, now); }
  void Next(millis now) {
    sent.clear();
    notices.Next(starts, now, sent);
  }
  int64_t NumberTo(std::string_view entry) const {
    int64_t number = 0;
    for (const auto& one : sent) {
      if (one.peer == entry) {
        number = std::max(number, std::get<open_starts_notice>(one.message).number);
      }
    }
    return number;
  }
  bool Known(millis now) { return starts.Confirm(worker, "agent-1", run, now); }
};

TEST_CASE("a start is not ordered before it is known outside of the planner's failure domain") {
  ordering_planner planner;
  planner.notices.OnConnected("near", "a", 4);
  SUBCASE("an entry in the same domain answers, which does not count") {
    planner.Order(millis(10));
    planner.Next(millis(10));
    planner.notices.On("near", {planner.NumberTo("near")}, planner.starts);
    CHECK_FALSE(planner.Known(millis(20)));
    CHECK(planner.notices.StoreNeeded(planner.starts, millis(20)));
    SUBCASE("but the store does") {
      planner.starts.OnStored("w1", std::vector<run_ref>{planner.run});
      CHECK(planner.Known(millis(30)));
      CHECK_FALSE(planner.notices.StoreNeeded(planner.starts, millis(30)));
    }
  }
  SUBCASE("an entry in another domain answers") {
    planner.notices.OnConnected("far", "b", 1);
    planner.Order(millis(10));
    planner.Next(millis(10));
    CHECK_FALSE(planner.notices.StoreNeeded(planner.starts, millis(20)));
    const int64_t number = planner.NumberTo("far");
    REQUIRE(number > 0);
    planner.notices.On("far", {number}, planner.starts);
    CHECK(planner.Known(millis(20)));
    SUBCASE("again if the start has waited, as the entry counts its time from the notice") {
      CHECK_FALSE(planner.Known(millis(3000)));
      planner.Next(millis(3000));
      REQUIRE(planner.NumberTo("far") > number);
      planner.notices.On("far", {number}, planner.starts);
      CHECK_FALSE(planner.Known(millis(3010)));
      planner.notices.On("far", {planner.NumberTo("far")}, planner.starts);
      CHECK(planner.Known(millis(3010)));
    }
  }
  SUBCASE("an entry in another domain does not answer: the store has to hold the start") {
    planner.notices.OnConnected("far", "b", 1);
    planner.Order(millis(10));
    planner.Next(millis(10));
    CHECK(planner.notices.StoreNeeded(planner.starts, millis(110)));
    SUBCASE("and the notice is repeated") {
      const int64_t number = planner.NumberTo("far");
      planner.Next(millis(210));
      CHECK(planner.NumberTo("far") > number);
    }
  }
}

TEST_CASE("entries drop a start only when the process of its agent that called has settled it") {
  open_starts planner;
  open_starts holder;
  worker_profile worker;
  worker.self = {"w1", 100};
  worker.address = "w1:80";
  const batch_job job = MakeBatchJob("a1", "usual", 1, millis(1000), 1);
  const unit_ref unit{job.id, 0, 0, 0};
  const run_ref run{job.id + ".0.0.0", 701};
  const auto held = [&](millis now) { return !holder.Of(unit, job.steps[0], now).empty(); };
  planner.OnAgentConnected("agent-1", 11, millis(0));
  planner.Order(worker, "agent-1", run, millis(10));
  holder.Learn(planner.TakeNews(1, millis(10)), millis(10));
  REQUIRE(held(millis(20)));
  worker_report report;
  report.worker = worker;
  report.running = {{run.task, run.run, "", 100, 0}};
  SUBCASE("when its run is listed and no call of it is unanswered") {
    planner.Settle("agent-1", report, millis(100));
    holder.Learn(planner.TakeNews(2, millis(100)), millis(100));
    CHECK_FALSE(held(millis(110)));
  }
  SUBCASE("not when the agent has started again, which does not know the calls") {
    planner.OnAgentConnected("agent-1", 12, millis(50));
    planner.Settle("agent-1", report, millis(100));
    holder.Learn(planner.TakeNews(2, millis(100)), millis(100));
    CHECK(held(millis(110)));
    CHECK_FALSE(planner.Of(unit, job.steps[0], millis(110)).empty());
    CHECK(planner.Of(unit, job.steps[0], millis(50) + kLatestExecution).empty());
  }
  SUBCASE("not when a call of the agent's next process is settled") {
    planner.OnAgentConnected("agent-1", 12, millis(50));
    planner.Settle("agent-1", report, millis(100));
    planner.Order(worker, "agent-1", run, millis(110));
    holder.Learn(planner.TakeNews(2, millis(110)), millis(110));
    planner.Settle("agent-1", report, millis(120));
    holder.Learn(planner.TakeNews(3, millis(120)), millis(120));
    CHECK(held(millis(130)));
  }
  SUBCASE("not when an agent to which the id has moved states nothing") {
    open_starts entry;
    entry.OnAgentConnected("agent-1", 11, millis(0));
    entry.OnAgentConnected("agent-2", 22, millis(0));
    const std::vector<unanswered_start> unanswered{{run.task, run.run, 12000}};
    entry.Report("agent-1", worker, unanswered, millis(20));
    worker.self.born_ms = 200;
    worker.address = "w2:80";
    entry.Report("agent-2", worker, {}, millis(30));
    CHECK_FALSE(entry.Of(unit, job.steps[0], millis(40)).empty());
  }
}

TEST_CASE("a start that is known in a domain that is cut off is not started elsewhere") {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    batch_world_options options;
    options.seed = seed;
    options.entries = 6;
    batch_world world(options);
    world.RunFor(millis(5000));
    const int domain = world.Planner() % 3;
    const batch_job job = MakeBatchJob("e1", "usual", 60, millis(4000), 1);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(3950));
    world.SetLateOrders(1);
    world.CutDomain(domain, true);
    for (int step = 0; step < 2000 && world.check().ends(run_end::kDone) < 1; ++step) {
      world.RunFor(millis(1));
    }
    world.RunFor(millis(300));
    world.RestartWorker(domain, millis(6000), millis(0));
    world.RestartWorker(domain + 3, millis(6000), millis(0));
    world.SetLateOrders(0);
    world.RunFor(millis(14000));
    world.CutDomain(domain, false);
    world.RunFor(millis(60000));
    RequireKept(world);
  }
}

}  // namespace
}  // namespace eelgrass
