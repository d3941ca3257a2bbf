#include <doctest/doctest.h>

#include "kernel/advice/ticket_cache.h"
#include "kernel/batch/pace_policy.h"
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

  const auto next = [&](const planning_view& at) { return desk.Next(planner.Plan(at).advice, at); };

  CHECK(planner.Plan(view).starts.empty());
  const auto request = next(view);
  REQUIRE(request.has_value());
  CHECK(request->step == job.id + ".0.0");
  CHECK(request->workers.size() == 3);
  CHECK(request->expected == millis(160));
  CHECK_FALSE(next(view).has_value());

  SUBCASE("units start at the workers with a ticket only, and carry it") {
    desk.On({request->step, request->workers, true, {{"w1", "t-1"}}, millis(3000)}, millis(0));
    const auto plan = planner.Plan(view);
    REQUIRE(plan.starts.size() == 2);
    for (const auto& start : plan.starts) {
      CHECK(start.workers == std::vector<std::string>{"w1"});
      CHECK(start.tickets == std::vector<std::string>{"t-1"});
    }
    CHECK_FALSE(next(view).has_value());
    SUBCASE("as long as it is good for this life of the worker") {
      CHECK(desk.Ticket(unit, {"w1", 8}, millis(0)) == nullptr);
      CHECK(desk.Ticket(unit, {"w1", 7}, millis(2900)) == nullptr);
      CHECK(desk.Ticket(unit, {"w1", 7}, millis(2000)) != nullptr);
    }
  }
  SUBCASE("a call that was turned away is made again") {
    desk.On({request->step, request->workers, false, {}, millis(0)}, millis(0));
    const planning_view later{book, pool, config, evacuated, speeds, &desk, millis(1000)};
    CHECK(next(later).has_value());
  }
}

// Guards against review case 5: a few steps that waited for room were asked for again and again,
// and steps that had room never (LOST).
TEST_CASE("steps that wait for room do not take up the calls for advice") {
  job_table book(millis(250));
  worker_pool pool;
  batch_config config;
  batch_queue queue;
  queue.name = "usual";
  queue.service = "drying";
  queue.advice = {true, millis(400), millis(50)};
  config.queues.push_back(queue);
  for (int i = 0; i < 3; ++i) {
    pool_worker& worker = pool.Get("w" + std::to_string(i));
    worker.profile.self = {"w" + std::to_string(i), 7};
    worker.profile.service = "drying";
    worker.profile.capacity = {32000, 131072, 8};
    worker.linked = worker.listing = worker.recorded = true;
    worker.lease_end = millis(100000);
    run_record serving;
    serving.unit = {"serving", 0, 0, i};
    serving.each = {1000, 1000, 1};
    serving.phase = run_phase::kRunning;
    worker.runs.emplace(run_ref{"serving.0.0." + std::to_string(i), 1}, serving);
  }
  std::vector<std::string> large;
  for (int i = 0; i < 6; ++i) {
    const batch_job job = MakeBatchJob("a" + std::to_string(i), "usual", 1, millis(1000), 8);
    book.Add(job, millis(0));
    large.push_back(job.id);
  }
  const std::set<std::string> evacuated;
  ticket_cache desk;
  const worker_speeds speeds;
  const auto order = std::move(unit_order_registry::Instance().Create("arrival").value());
  start_planner planner(*order);
  millis now(0);
  constexpr millis kCall{550};
  const auto view = [&] {
    book.Release(now, now);
    for (auto& [id, worker] : pool.all()) worker.reported = now;
    return planning_view{book, pool, config, evacuated, speeds, &desk, now};
  };
  /** Makes one call that allows only the second worker; returns the job that it was for. */
  const auto ask = [&] {
    const planning_view at = view();
    const auto request = desk.Next(planner.Plan(at).advice, at);
    if (!request) return std::string();
    now += kCall;
    std::vector<std::pair<std::string, std::string>> tickets;
    for (const auto& worker : request->workers) {
      if (worker == "w1") tickets.emplace_back(worker, "t");
    }
    desk.On({request->step, request->workers, true, tickets, millis(3000)}, now);
    return request->step.substr(0, request->step.find('.'));
  };
  std::set<std::string> asked;
  for (size_t i = 0; i < large.size(); ++i) asked.insert(ask());

  SUBCASE("each of them is asked for in turn") { CHECK(asked.size() == large.size()); }
  SUBCASE("a step with room is asked for before them, and starts") {
    const batch_job small = MakeBatchJob("f1", "usual", 1, millis(1000), 1);
    book.Add(small, now);
    CHECK(ask() == small.id);
    const auto plan = planner.Plan(view());
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].unit.job == small.id);
    CHECK(plan.starts[0].workers == std::vector<std::string>{"w1"});
  }
  SUBCASE("one of them is asked for first as soon as it has room") {
    pool.Get("w1").runs.clear();
    now += millis(3000);  // all tickets have expired
    ask();
    const auto plan = planner.Plan(view());
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].workers == std::vector<std::string>{"w1"});
  }
  SUBCASE("an urgent one that may make room comes before those that only wait") {
    batch_queue urgent = config.queues[0];
    urgent.name = "urgent";
    urgent.priority = 0;
    config.queues[0].priority = 2;
    config.queues.push_back(urgent);
    batch_job job = MakeBatchJob("f2", "urgent", 1, millis(1000), 8);
    book.Add(job, now);
    CHECK(ask() == job.id);
  }
}

}  // namespace
}  // namespace eelgrass
