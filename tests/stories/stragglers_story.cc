#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "kernel/batch/run_tracker.h"
#include "kernel/batch/unit_order.h"
#include "kernel/placement/start_planner.h"
#include "kernel/stragglers/straggler_control.h"
#include "tests/world/batch_world.h"
#include "tests/world/draws.h"

namespace eelgrass {
namespace {

/** A pool of workers whose lists the test writes, twice a second. */
struct straggler_pool {
  explicit straggler_pool(int workers) {
    for (const auto& [name, priority] : {std::pair("usual", 1), std::pair("urgent", 0)}) {
      batch_queue queue;
      queue.name = name;
      queue.priority = priority;
      queue.service = "runners";
      config.queues.push_back(queue);
    }
    for (int i = 0; i < workers; ++i) {
      pool_worker& worker = pool.Get(Name(i));
      worker.profile.self = {Name(i), 1};
      worker.profile.service = "runners";
      worker.profile.capacity = {64000, 64000, 8};
      worker.linked = worker.listing = worker.recorded = true;
      worker.lease_end = millis(1000000);
    }
  }
  static std::string Name(int worker) {
    return "w" + std::to_string(worker / 10) + std::to_string(worker % 10);
  }
  void Add(const batch_job& job) {
    jobs.Add(job, now);
    jobs.Release(now, now);
  }
  run_record& Run(const unit_ref& unit, int member, int worker, int64_t run = 701) {
    const batch_step& step = *jobs.StepOf(unit);
    run_record record;
    record.unit = unit;
    record.task = ToText(MemberOf(unit, step, member));
    record.run = run;
    record.each = ResourcesPerTask(step);
    record.phase = run_phase::kRunning;
    record.began = now;
    jobs.Find(unit)->open_runs++;
    return pool.Find(Name(worker))->runs[{record.task, run}] = record;
  }
  void List(run_record& record, int64_t percent, millis ago = millis(0)) {
    record.progress.Observe(percent, now - ago);
    const auto rate = record.progress.rate();
    record.listing.Observe(percent, now - ago,
                           rate ? std::optional(rate->percent_per_second) : std::nullopt, now);
  }
  planning_view View() {
    for (auto& [id, worker] : pool.all()) worker.reported = now;
    return {jobs, pool, config, evacuated, speeds, nullptr, now, least_term, now};
  }
  std::vector<unit_ref> Decide(std::span<const run_outcome> outcomes = {}) {
    return control.Decide(outcomes, View(), pool);
  }
  /** Lists the runs, with each percentage rising by its own step, and returns the units to stop. */
  std::set<unit_ref> Pass(millis time, const std::vector<std::pair<run_record*, double>>& runs) {
    std::set<unit_ref> stopped;
    for (const millis end = now + time; now < end;) {
      now += millis(500);
      for (const auto& [record, per_second] : runs) {
        done[record] += per_second / 2;
        List(*record, std::min<int64_t>(99, static_cast<int64_t>(done[record])));
      }
      for (const auto& unit : Decide()) {
        stopped.insert(unit);
        for (const auto& [record, rate] : runs) {
          if (record->unit == unit) record->phase = run_phase::kStopping;
        }
      }
    }
    return stopped;
  }
  /** Lists a run with the same percentage for 20 s. */
  std::vector<unit_ref> Repeat(run_record& record, int64_t percent, millis ago = millis(0)) {
    std::vector<unit_ref> stopped;
    for (int i = 0; i < 40 && stopped.empty(); ++i) {
      now += millis(500);
      List(record, percent, ago);
      stopped = Decide();
    }
    return stopped;
  }
  quarantine_state& Held(int worker) { return pool.Find(Name(worker))->quarantine; }
  int Quarantined() { return static_cast<int>(CountQuarantined(pool, now)); }

  job_table jobs{millis(250)};
  worker_pool pool;
  batch_config config;
  std::set<std::string> evacuated;
  worker_speeds speeds;
  straggler_control control{{millis(250), millis(400)}};
  millis now{1000};
  int64_t least_term = 0;
  std::map<run_record*, double> done;
};

constexpr millis kWork{10000};  // so that a typical worker does 10 percent in a second

// Guards against tasks that stand still on a responding worker until its lease ends, or for ever.
TEST_CASE("a single task stands still") {
  straggler_pool world(20);
  const batch_job job = MakeBatchJob("a1", "usual", 3, kWork, 1);
  world.Add(job);
  const unit_ref unit{job.id, 0, 0, 0};
  run_record* run = &world.Run(unit, 0, 0);
  REQUIRE(world.Pass(millis(3000), {{run, 10}}).empty());

  SUBCASE("and without a checkpoint it stays as long as the rest is shorter than a new start") {
    CHECK(world.Pass(millis(3000), {{run, 0}}).empty());
    SUBCASE("though its worker gets nothing else") {
      CHECK(world.Held(0).Active(world.now));
      CHECK(world.pool.Find("w00")->avoid_until >= world.now);
    }
    SUBCASE("and is moved when its stall has become longer than what it would lose") {
      CHECK(world.Pass(millis(1000), {{run, 0}}).contains(unit));
    }
  }
  SUBCASE("and with one it is moved within three lists of its agent's reports") {
    world.jobs.Find(unit)->saved = "c1";
    CHECK(world.Pass(millis(1000), {{run, 0}}).empty());
    CHECK(world.Pass(millis(1500), {{run, 0}}).contains(unit));
    SUBCASE("but not a third time: the task itself is the cause then") {
      int moves = 1;
      for (int i = 1; i < 4; ++i) {
        world.pool.Find(world.Name(i - 1))->runs.clear();
        run = &world.Run(unit, 0, i, 701 + i);
        world.done[run] = 30;
        moves += world.Pass(millis(6000), {{run, 0}}).contains(unit) ? 1 : 0;
      }
      CHECK(moves == 2);
      CHECK_FALSE(world.Held(3).Active(world.now));
    }
  }
  SUBCASE("while another task goes on beside it, which speaks for the worker") {
    world.jobs.Find(unit)->saved = "c1";
    run_record* other = &world.Run({job.id, 0, 0, 1}, 0, 0);
    CHECK(world.Pass(millis(5000), {{run, 0}, {other, 10}}).contains(unit));
    CHECK(world.Quarantined() == 0);
  }
}

// Guards against stops of runs that make progress, or of which nothing is known.
TEST_CASE("a run that looks like a stalled one is left alone") {
  straggler_pool world(8);
  batch_job job = MakeBatchJob("a1", "usual", 3, kWork, 1);
  const unit_ref unit{job.id, 0, 0, 0};
  const auto run = [&]() -> run_record* {
    world.Add(job);
    world.jobs.Find(unit)->saved = "c1";
    return &world.Run(unit, 0, 0);
  };

  SUBCASE("it is slow, also by its estimate, and advances by a percent each 1.7 s") {
    job.steps[0].estimate = kWork * 10;
    CHECK(world.Pass(millis(60000), {{run(), 0.6}}).empty());
  }
  SUBCASE("its agent is silent, and then lists the same percentage") {
    run_record* silent = run();
    world.Pass(millis(3000), {{silent, 10}});
    world.now += millis(10000);
    CHECK(world.Pass(millis(500), {{silent, 0}}).empty());
  }
  SUBCASE("its agent repeats old lists") {
    run_record* old = run();
    CHECK(world.Repeat(*old, 30, millis(1600)).empty());
    world.List(*old, 30);
    CHECK(world.Decide().empty());
  }
  SUBCASE("it lists all of its work from the start, as workers without progress do") {
    CHECK(world.Repeat(*run(), 100).empty());
  }
  SUBCASE("it lists no percentage") { CHECK(world.Repeat(*run(), -1).empty()); }
  SUBCASE("it runs until it is cancelled") {
    job.steps[0].long_running = true;
    CHECK(world.Pass(millis(20000), {{run(), 0}}).empty());
  }
  SUBCASE("it gets only what others leave idle") {
    job.steps[0].fills = true;
    CHECK(world.Pass(millis(20000), {{run(), 0}}).empty());
  }
  SUBCASE("its job has to wait for runs of an earlier term") {
    world.least_term = 7;
    CHECK(world.Pass(millis(20000), {{run(), 0}}).empty());
  }
  // Plans depend on nothing else that these decisions change.
  CHECK(world.Quarantined() == 0);
  for (const auto& [id, worker] : world.pool.all()) CHECK(worker.avoid_until == millis(0));
}

// Guards against gangs that wait for a member that stands still, and against blaming the others.
TEST_CASE("a member of a gang stands still") {
  straggler_pool world(8);
  const batch_job job = MakeBatchJob("b1", "usual", 3, kWork, 8, true);
  world.Add(job);
  const unit_ref unit{job.id, 0, 0, 0};
  world.jobs.Find(unit)->saved = "c1";
  run_record* first = &world.Run(unit, 0, 0);
  run_record* second = &world.Run(unit, 1, 1);

  SUBCASE("since the last one is not there yet") {
    CHECK(world.Pass(millis(8000), {{first, 0}, {second, 0}}).empty());
    CHECK(world.Quarantined() == 0);
  }
  SUBCASE("while all are there") {
    run_record* third = &world.Run(unit, 2, 2);
    world.Pass(millis(3000), {{first, 10}, {second, 10}, {third, 10}});
    SUBCASE("and the others go on") {
      CHECK(world.Pass(millis(2500), {{first, 0}, {second, 10}, {third, 10}}).contains(unit));
    }
    SUBCASE("and the others have done their work") {
      REQUIRE(world.Pass(millis(7000), {{first, 8}, {second, 10}, {third, 10}}).empty());
      CHECK(world.Pass(millis(3000), {{first, 0}, {second, 10}, {third, 10}}).contains(unit));
    }
    CHECK(world.Held(0).Active(world.now));
    CHECK(world.Quarantined() == 1);
  }
  SUBCASE("like all others, from the start: that speaks against the gang, not the workers") {
    run_record* third = &world.Run(unit, 2, 2);
    CHECK(world.Pass(millis(3000), {{first, 0}, {second, 0}, {third, 0}}).contains(unit));
    CHECK(world.Quarantined() == 0);
  }
  SUBCASE("at the end, to wait for slower ones") {
    run_record* third = &world.Run(unit, 2, 2);
    CHECK(world.Pass(millis(40000), {{first, 10}, {second, 10}, {third, 2.2}}).empty());
    CHECK(world.Quarantined() == 0);
  }
}

// Guards against a faulty worker that ends one gang after the other, and against blaming workers
// for failures that are everywhere.
TEST_CASE("runs of different jobs fail on one worker") {
  straggler_pool world(8);
  const auto ends = [&](int failing, const std::vector<std::string>& jobs, int succeeding = 7,
                        int successes = 40) {
    std::vector<run_outcome> outcomes;
    for (int i = 0; i < successes; ++i) outcomes.push_back({world.Name(succeeding), "s", false});
    for (const auto& job : jobs) outcomes.push_back({world.Name(failing), job, true});
    world.Decide(outcomes);
  };
  const auto usable = [&](const std::string& queue) {
    const batch_job job = MakeBatchJob("c" + std::to_string(world.now.count()), queue, 9, kWork, 1);
    world.Add(job);
    capacity_map capacity;
    const planning_view view = world.View();
    capacity.Read(view);
    ready_unit unit;
    unit.unit = {job.id, 0, 0, 0};
    unit.job = world.jobs.Find(job.id);
    unit.step = &unit.job->job.steps[0];
    unit.queue = view.config.FindQueueByName(queue);
    unit.state = world.jobs.Find(unit.unit);
    unit.each = ResourcesPerTask(*unit.step);
    const auto candidates = capacity.CandidatesFor(unit, view);
    return std::any_of(candidates.begin(), candidates.end(),
                       [](const auto* found) { return found->worker->profile.self.id == "w00"; });
  };

  SUBCASE("one job fails there again and again: it may be the job") {
    ends(0, {"j1", "j1", "j1"});
    CHECK(world.Quarantined() == 0);
  }
  SUBCASE("ten seconds apart") {
    ends(0, {"j1"});
    world.now += millis(10500);
    ends(0, {"j2"});
    CHECK(world.Quarantined() == 0);
  }
  SUBCASE("with a success between them") {
    ends(0, {"j1"});
    ends(0, {"j2"}, 0, 1);
    CHECK(world.Quarantined() == 0);
  }
  SUBCASE("and a tenth of all runs fail: it is not the worker") {
    ends(0, {"j1", "j2"}, 7, 18);
    CHECK(world.Quarantined() == 0);
  }
  SUBCASE("within ten seconds") {
    ends(0, {"j1"});
    world.now += millis(5000);
    ends(0, {"j2"});
    REQUIRE(world.Quarantined() == 1);
    CHECK_FALSE(usable("usual"));
    world.now += millis(2900);
    CHECK_FALSE(usable("usual"));
    world.now += millis(100);
    SUBCASE("and after the back-off it is probed with what is not urgent") {
      CHECK(usable("usual"));
      CHECK_FALSE(usable("urgent"));
    }
    SUBCASE("with one unit at a time") {
      const batch_job probe = MakeBatchJob("d1", "usual", 1, kWork, 1);
      world.Add(probe);
      world.Run({probe.id, 0, 0, 0}, 0, 0).placed = world.now;
      CHECK_FALSE(usable("usual"));
    }
    SUBCASE("with whatever comes when nothing else came for long") {
      world.now += millis(24000);
      CHECK(usable("urgent"));
    }
    SUBCASE("a probe that fails doubles the back-off, up to its bound") {
      for (const int64_t back_off : {6000, 12000, 24000, 24000}) {
        ends(0, {"j3"});
        CHECK(world.Held(0).until == world.now + millis(back_off));
        world.now += millis(back_off);
      }
    }
    SUBCASE("a probe that succeeds ends the quarantine and resets the back-off") {
      ends(0, {}, 0, 1);
      CHECK(world.Quarantined() == 0);
      CHECK(usable("urgent"));
      ends(0, {"j4", "j5"});
      CHECK(world.Held(0).until == world.now + millis(3000));
    }
  }
}

// Guards against ends that are counted for another worker or job, or are not counted.
TEST_CASE("the ends of runs are told by worker and job") {
  straggler_pool world(0);
  run_tracker tracker({}, world.jobs, world.pool, world.speeds);
  tracker.Begin(7);
  const batch_job job = MakeBatchJob("a1", "usual", 3, kWork, 1);
  world.Add(job);
  worker_report said;
  said.term = 7;
  said.sequence = 1;
  said.present = said.listed = true;
  said.worker.self = {"w1", 1};
  const std::string task = job.id + ".0.0.";
  said.ended = {{1, task + "0", 701, run_end::kFailed, ""},
                {2, task + "1", 702, run_end::kStopped, ""},
                {3, task + "2", 703, run_end::kDone, ""}};
  tracker.On("agent-1", said, world.config, world.now);
  const auto outcomes = tracker.TakeOutcomes();
  REQUIRE(outcomes.size() == 2);
  CHECK(outcomes[0] == run_outcome{"w1", job.id, true});
  CHECK(outcomes[1] == run_outcome{"w1", job.id, false});
  CHECK(tracker.TakeOutcomes().empty());
}

// Guards against decisions that change plans where no worker is at fault.
TEST_CASE("where all workers work and failures are spread, plans are as without these decisions") {
  for (const uint64_t seed : {1, 2, 3, 4}) {
    straggler_pool watched(20);
    straggler_pool plain(20);
    draws random(seed);
    const auto order = std::move(unit_order_registry::Instance().Create("deadline").value());
    for (int round = 0; round < 40; ++round) {
      const int64_t size = random.Between(millis(0), millis(8)).count();
      const batch_job job =
          MakeBatchJob(std::to_string(round), random.Chance(0.3) ? "urgent" : "usual",
                       static_cast<int>(size) + 1, kWork, 8 - size, random.Chance(0.5));
      std::vector<run_outcome> ends(30, {straggler_pool::Name(round % 20), "s", false});
      if (round % 3 == 0) ends.push_back({straggler_pool::Name(round / 3), job.id, true});
      std::vector<std::vector<std::string>> plans[2];
      for (straggler_pool* world : {&watched, &plain}) {
        world->now += millis(500);
        world->Add(job);
        for (auto& [run, percent] : world->done) {
          percent = std::min(99.0, percent + 5);
          world->List(*run, static_cast<int64_t>(percent));
        }
        if (world == &watched) CHECK(world->Decide(ends).empty());
        for (const auto& start : start_planner(*order).Plan(world->View()).starts) {
          plans[world == &plain].push_back(start.workers);
          for (size_t i = 0; i < start.workers.size(); ++i) {
            const int at = std::stoi(start.workers[i].substr(1));
            world->done[&world->Run(start.unit, static_cast<int>(i), at)] = 0;
          }
        }
      }
      CHECK(plans[0] == plans[1]);
    }
    CHECK(watched.done.size() > 20);
  }
}

// Guards against a quarantine that takes the capacity away in a fault of the whole cluster.
TEST_CASE("most workers are at fault") {
  straggler_pool world(8);
  std::vector<std::pair<run_record*, double>> runs;
  for (int i = 0; i < 6; ++i) {
    const batch_job job = MakeBatchJob("e" + std::to_string(i), "usual", 1, kWork, 8);
    world.Add(job);
    const unit_ref unit{job.id, 0, 0, 0};
    world.jobs.Find(unit)->saved = "c1";
    runs.emplace_back(&world.Run(unit, 0, i), 10);
  }
  world.Pass(millis(3000), runs);
  for (auto& [record, rate] : runs) rate = 0;

  // A quarter of them is kept out, and only their runs are moved.
  CHECK(world.Pass(millis(2500), runs).size() == 2);
  CHECK(world.Quarantined() == 2);
}

}  // namespace
}  // namespace eelgrass
