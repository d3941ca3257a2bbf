#include <doctest/doctest.h>

#include "kernel/batch/pace_policy.h"
#include "kernel/batch/ticket_cache.h"
#include "tests/world/batch_world.h"

namespace eelgrass {
namespace {

TEST_CASE("tasks that fill hold back for tasks that serve") {
  pace_policy policy;
  const run_ref serving{"s.0.0.0", 1};
  const run_ref filler{"f.0.0.0", 1};
  std::vector<paced_run> runs = {{serving, 100, 50, false}, {filler, 0, 0, true}};
  REQUIRE(policy.Decide(runs, millis(0)).empty());

  SUBCASE("they are cut back as soon as a target is near, and to nothing if that is not enough") {
    runs[0].latency_ms = 95;
    auto changes = policy.Decide(runs, millis(1000));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].run == filler);
    CHECK(changes[0].percent == 33);
    CHECK(policy.Decide(runs, millis(1100)).empty());
    policy.Decide(runs, millis(1700));
    changes = policy.Decide(runs, millis(2400));
    CHECK(changes[0].percent == 0);
    SUBCASE("and let back in steps once the serving tasks are calm") {
      runs[0].latency_ms = 30;
      CHECK(policy.Decide(runs, millis(3000)).empty());
      changes = policy.Decide(runs, millis(4000));
      REQUIRE(changes.size() == 1);
      CHECK(changes[0].percent == 20);
    }
  }
  SUBCASE("a filler that comes later is told what is allowed") {
    runs[0].latency_ms = 95;
    policy.Decide(runs, millis(1000));
    runs.push_back({{"g.0.0.0", 1}, 0, 0, true});
    const auto changes = policy.Decide(runs, millis(1100));
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].run.task == "g.0.0.0");
  }
}

TEST_CASE("advice on which workers may run a step") {
  job_table book(millis(250));
  worker_pool pool;
  batch_config config;
  batch_queue queue;
  queue.name = "usual";
  queue.service = "drying";
  queue.advice = {true, millis(100), millis(20)};
  config.queues.push_back(queue);
  for (int i = 0; i < 3; ++i) {
    pool_worker& worker = pool.Get("w" + std::to_string(i));
    worker.profile.self = {"w" + std::to_string(i), 7};
    worker.profile.service = "drying";
    worker.profile.capacity = {32000, 131072, 8};
    worker.linked = worker.listing = worker.recorded = true;
    worker.lease_end = millis(100000);
  }
  const batch_job job = MakeBatchJob("a1", "usual", 2, millis(1000), 1);
  book.Add(job, millis(0));
  book.Release(millis(0), millis(0));
  const std::set<std::string> evacuated;
  ticket_cache desk;
  const worker_speeds speeds;
  const planning_view view{book, pool, config, evacuated, speeds, &desk, millis(0)};
  const unit_ref unit{job.id, 0, 0, 0};
  const auto order = std::move(unit_order_registry::Instance().Create("arrival").value());
  start_planner planner(*order);

  CHECK(planner.Plan(view).starts.empty());
  const auto request = desk.Next(view);
  REQUIRE(request.has_value());
  CHECK(request->step == job.id + ".0.0");
  CHECK(request->workers.size() == 3);
  CHECK(request->expected == millis(160));
  CHECK_FALSE(desk.Next(view).has_value());

  SUBCASE("units start at the workers with a ticket only, and carry it") {
    desk.On({request->step, request->workers, true, {{"w1", "t-1"}}, millis(3000)}, millis(0));
    const auto plan = planner.Plan(view);
    REQUIRE(plan.starts.size() == 2);
    for (const auto& start : plan.starts) {
      CHECK(start.workers == std::vector<std::string>{"w1"});
      CHECK(start.tickets == std::vector<std::string>{"t-1"});
    }
    CHECK_FALSE(desk.Next(view).has_value());
    SUBCASE("as long as it is good for this life of the worker") {
      CHECK(desk.Ticket(unit, {"w1", 8}, millis(0)) == nullptr);
      CHECK(desk.Ticket(unit, {"w1", 7}, millis(2900)) == nullptr);
      CHECK(desk.Ticket(unit, {"w1", 7}, millis(2000)) != nullptr);
    }
  }
  SUBCASE("a call that was turned away is made again") {
    desk.On({request->step, request->workers, false, {}, millis(0)}, millis(0));
    const planning_view later{book, pool, config, evacuated, speeds, &desk, millis(1000)};
    CHECK(desk.Next(later).has_value());
  }
}

}  // namespace
}  // namespace eelgrass
