#include <doctest/doctest.h>

#include "kernel/batch/run_tracker.h"
#include "kernel/batch/worker_incarnations.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

// Guards against review case 2: a worker lists 500 ends at a time, and runs that had ended after
// those were taken for lost and run again (TWICE).
TEST_CASE("more runs end at a worker than it lists at a time") {
  batch_world_options options;
  options.workers = 1;
  batch_world world(options);
  world.RunFor(millis(5000));
  for (int i = 0; i < 4; ++i) {
    batch_job job = MakeBatchJob("a" + std::to_string(10 + i), "usual", 400, millis(600), 0);
    job.steps[0].each = {100, 100, 0};
    world.Submit(job);
    world.Watch(job.id);
  }
  world.RunFor(millis(1500));
  world.SetStore(store_fault::kRefuses);
  SUBCASE("as none can be stored for a while") { world.RunFor(millis(3300)); }
  SUBCASE("and the planner that knows of them ends") {
    world.RunFor(millis(3000));
    REQUIRE(world.Planner() >= 0);
    world.KillEntry(world.Planner(), millis(2000));
    world.RunFor(millis(300));
  }
  SUBCASE("and their agent starts again") {
    world.RunFor(millis(2800));
    world.KillAgent(0, millis(300));
    world.RunFor(millis(500));
  }
  world.SetStore(store_fault::kNone);
  world.RunFor(millis(30000));
  CHECK(world.check().starts() == 1600);
  RequireKept(world);
}

TEST_CASE("a run that is in neither list of a worker") {
  constexpr int64_t kTerm = 7;
  job_table book(millis(250));
  worker_pool pool;
  worker_speeds speeds;
  run_tracker tracker({}, book, pool, speeds);
  const batch_config config;
  const batch_job job = MakeBatchJob("a1", "usual", 2, millis(1000), 1);
  book.Add(job, millis(0));
  tracker.Begin(kTerm);
  const std::string task = job.id + ".0.0.0";
  int64_t sequence = 0;
  const auto report = [&](std::vector<listed_run> running, bool more_ends) {
    worker_report said;
    said.term = kTerm;
    said.sequence = ++sequence;
    said.present = said.listed = true;
    said.worker.self = {"w1", 100};
    said.running = std::move(running);
    said.more_ends = more_ends;
    tracker.On("agent-1", said, config, millis(10 * sequence));
  };
  const auto phase = [&] { return pool.Find("w1")->runs.begin()->second.phase; };
  report({{task, 701, "", 100, 0}}, false);
  REQUIRE(phase() == run_phase::kRunning);

  SUBCASE("is stopped, as it can no longer be there") {
    report({}, false);
    CHECK(phase() == run_phase::kStopping);
  }
  SUBCASE("may have ended while the list of ends is not complete") {
    report({}, true);
    CHECK(phase() == run_phase::kRunning);
    CHECK(book.Find(unit_ref{job.id, 0, 0, 0})->open_runs == 1);
    report({}, false);
    CHECK(phase() == run_phase::kStopping);
  }
}

TEST_CASE("a stopped run that its worker does not list is not reported as barred") {
  worker_heartbeat beat;
  beat.worker.self = {"w1", 17};
  beat.sequence = 1;
  beat.clock_ms = 1000;
  worker_controller agent(beat, millis(0));
  std::vector<worker_call> calls;
  const run_ref run{"a.0.0.0", 501};
  millis now(0);
  const auto list = [&](bool more_ends, std::vector<listed_end> ended) {
    now += millis(300);
    calls.clear();
    agent.Tick(now, calls);
    hold_answer said;
    said.worker = beat.worker.self;
    said.fence = FenceOf(5, 0);
    said.sent = now;
    said.outcome = call_outcome::kDone;
    said.born_ms = 17;
    said.clock_ms = 1000 + now.count();
    said.ended = std::move(ended);
    said.more_ends = more_ends;
    agent.On(said, now);
  };
  agent.SetTerm(5, now);
  list(true, {{1, "a.0.0.7", 490, run_end::kDone, ""}});
  agent.Report(1, now);
  worker_order order;
  order.term = 5;
  order.sequence = 1;
  order.worker = beat.worker.self;
  order.stops.push_back(run);
  agent.On(order, now);
  calls.clear();
  agent.Tick(now, calls);
  agent.On(stop_answer{beat.worker.self, run, FenceOf(5, 0), call_outcome::kDone}, now);
  list(true, {{1, "a.0.0.7", 490, run_end::kDone, ""}});
  CHECK(agent.Report(2, now).refused.empty());
  CHECK(agent.Report(3, now).more_ends);

  SUBCASE("until the list of ends is complete") {
    list(false, {{1, "a.0.0.7", 490, run_end::kDone, ""}});
    CHECK(agent.Report(4, now).refused.size() == 1);
  }
  SUBCASE("nor if its end is listed then") {
    list(false, {{501, run.task, run.run, run_end::kDone, ""}});
    const auto report = agent.Report(4, now);
    CHECK(report.refused.empty());
    CHECK(report.ended.size() == 1);
  }
}

}  // namespace
}  // namespace eelgrass
