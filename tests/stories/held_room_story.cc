#include <doctest/doctest.h>

#include <cmath>

#include "kernel/learning/measured_work.h"
#include "kernel/learning/work_estimates.h"
#include "tests/world/batch_world.h"
#include "tests/world/plan_rig.h"

namespace eelgrass {
namespace {

constexpr millis kWork{4000};
constexpr millis kStep{500};
constexpr int kWorkers = 8;
constexpr int64_t kWholeWorker = 8;  // accelerators

batch_job Gang(std::string_view queue, int members, millis work) {
  batch_job job = MakeBatchJob("", queue, members, work, kWholeWorker, true);
  job.organisation = plan_rig::Organisation(0);
  return job;
}

/** All workers run single tasks that end one after the other, and more of them wait. */
struct stream_rig : plan_rig {
  stream_rig() : plan_rig("deadline", kWorkers, 1) {
    for (int i = 0; i < kWorkers; ++i) {
      Add(0, "2", kWork);
      RunUntil(now + kStep);
    }
    for (int i = 0; i < 200; ++i) Add(0, "2", kWork);
  }
};

// Guards against gangs that wait as long as there are narrow tasks that fit into each gap.
TEST_CASE("a wide gang comes to a cluster that a stream of single tasks keeps full") {
  stream_rig rig;

  SUBCASE("it starts once the tasks that run on four workers have ended") {
    const std::string gang = rig.Add(Gang("1", 4, kWork));
    rig.RunUntil(rig.now + kWork * 2);
    CHECK(rig.Waited(gang) <= kWork);
  }
  SUBCASE("a task that is gone before that uses the room meanwhile, and a longer one does not") {
    // One worker is free now, and the gang's four are free in two seconds.
    rig.RunUntil(rig.now + kWork);
    const std::string gang = rig.Add(Gang("1", kWorkers, kWork));
    rig.now += kStep;
    rig.EndRuns();
    const std::string fast = rig.Add(0, "2", kStep);
    const std::string slow = rig.Add(0, "2", kWork * 3);
    const start_plan plan = rig.Plan();
    REQUIRE(plan.starts.size() == 1);
    CHECK(plan.starts[0].unit.job == fast);
    CHECK(plan.starts[0].unit.job != slow);
  }
  SUBCASE("room is held for two gangs, not for all that wait") {
    for (int i = 0; i < 10; ++i) rig.Add(Gang("1", 2, kWork));
    rig.RunUntil(rig.now + kWork / 2);
    int running = 0;
    for (const auto& [id, worker] : rig.pool.all()) running += worker.runs.empty() ? 0 : 1;
    CHECK(running >= kWorkers - 3);
  }
}

// Guards against a unit that urgent work stops again and again, so that it never ends.
TEST_CASE("urgent work comes again and again to the unit that is cheapest to stop") {
  plan_rig rig("deadline", kWorkers, 2);
  const std::string batch = rig.Add(0, "2", kWork, kWorkers);
  for (const auto& start : rig.Plan().starts) rig.Start(start);
  rig.now += kStep;
  for (auto& [id, worker] : rig.pool.all()) worker.reported = rig.now;
  const auto preempted = [&](int before) {
    for (int i = 0; i < kWorkers; ++i) {
      rig.jobs.Find(unit_ref{batch, 0, 0, i})->preemptions = before;
    }
    batch_job urgent = Gang("0", 1, kWork);
    urgent.organisation = plan_rig::Organisation(1);
    rig.Add(std::move(urgent));
    return rig.Plan().preempted.size();
  };
  SUBCASE("it may be stopped twice") {
    CHECK(preempted(0) == 1);
    CHECK(preempted(1) > 0);
  }
  SUBCASE("after that it goes on") { CHECK(preempted(2) == 0); }
  SUBCASE("but for work within a guarantee") {
    rig.config.organisations[1].guaranteed_accelerators = kWholeWorker;
    CHECK(preempted(2) == 1);
  }
}

// Guards against decisions on estimates that are off by several times.
TEST_CASE("estimates are corrected by what a queue's jobs have shown") {
  work_estimates estimates;
  const auto learn = [&](double work_ms, std::initializer_list<double> errors) {
    for (const double error : errors) {
      estimates.Record("q", millis(static_cast<int64_t>(work_ms * std::exp(error))), work_ms);
    }
  };
  SUBCASE("nothing is corrected before a few jobs have run, nor at other queues") {
    learn(10000, {0.9, -0.9, 0.9, -0.9});
    CHECK(estimates.Ratio("q", millis(30000)) == 1);
    learn(10000, {0.9});
    CHECK(estimates.Ratio("q", millis(30000)) < 0.5);
    CHECK(estimates.Ratio("other", millis(30000)) == 1);
  }
  SUBCASE("where the work hardly varies, an estimate that is far off gives way to it") {
    learn(10000, {0.9, -0.9, 0.8, -0.8, 0.7, -0.7, 0.9, -0.9});
    CHECK(30000 * estimates.Ratio("q", millis(30000)) == doctest::Approx(10000).epsilon(0.15));
    CHECK(3000 * estimates.Ratio("q", millis(3000)) == doctest::Approx(10000).epsilon(0.15));
  }
  SUBCASE("where estimates are right, the work that varies is taken from them") {
    for (const double work : {2000.0, 30000.0, 5000.0, 80000.0, 9000.0, 1000.0}) learn(work, {0});
    CHECK(estimates.Ratio("q", millis(40000)) == doctest::Approx(1).epsilon(0.15));
  }
  SUBCASE("an estimate that all callers give too low is raised") {
    for (const double work : {2000.0, 30000.0, 5000.0, 80000.0, 9000.0, 1000.0}) {
      learn(work, {-0.7});
    }
    CHECK(estimates.Ratio("q", millis(5000)) == doctest::Approx(2).epsilon(0.15));
  }
  SUBCASE("values that are no work are ignored") {
    for (const double work : {0.0, -1.0, std::nan("")}) {
      for (int i = 0; i < 9; ++i) estimates.Record("q", millis(1000), work);
    }
    CHECK(estimates.Ratio("q", millis(1000)) == 1);
  }
}

TEST_CASE("a job's own runs correct its estimates") {
  measured_work work;
  work.Expect(2);
  CHECK(work.ratio() == 2);
  work.Record(millis(1000), 3000);
  CHECK(work.ratio() > 2.4);
  for (int i = 0; i < 9; ++i) work.Record(millis(1000), 3000);
  CHECK(work.ratio() == doctest::Approx(3).epsilon(0.05));
  SUBCASE("a task that takes seven times as long hardly changes that") {
    for (int i = 0; i < 30; ++i) work.Record(millis(1000), 3000);
    work.Record(millis(1000), 21000);
    CHECK(work.ratio() == doctest::Approx(3).epsilon(0.1));
  }
  SUBCASE("an error of measurement does not") {
    measured_work exact;
    exact.Record(millis(1000), 1080);
    CHECK(exact.ratio() == 1);
  }
}

}  // namespace
}  // namespace eelgrass
