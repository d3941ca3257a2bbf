/** \file
 * Time of one planning round for batch jobs, by the order of the units.
 */
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "tests/world/batch_world.h"
#include "tests/world/plan_rig.h"

namespace eelgrass {
namespace {

constexpr int kWorkers = 1000;
constexpr int kOrganisations = 10;
constexpr int kRunning = 7000;
constexpr int kTasksOfJob = 40;
constexpr int kGangs = 260;
constexpr int kWaitingJobs = 6;  // of kTasksOfJob tasks; 500 waiting units together with the gangs
constexpr int kLargestGang = 12;
constexpr int kAccelerators = 8;
constexpr int kRounds = 25;  // a round takes more than half a second

/** A busy cluster in which the first organisation uses half of what is used. */
class batch_planning_rig {
 public:
  explicit batch_planning_rig(std::string_view order) : rig_(order, kWorkers, kOrganisations) {
    for (int i = 0; i < kRunning / kTasksOfJob; ++i) Add("2", kTasksOfJob, 1, false, i % 2 == 0);
    for (const auto& start : rig_.Plan().starts) rig_.Start(start);
    rig_.usage.Update(rig_.View(true));
    rig_.now += millis(60000);
    for (int i = 0; i < kGangs; ++i) {
      const int members = 1 + Draw(kLargestGang);
      Add(i % 3 == 0 ? "0" : "1", members, 1 + Draw(kAccelerators), true, i % 2 == 0);
    }
    for (int i = 0; i < kWaitingJobs; ++i) Add("2", kTasksOfJob, 1, false, i % 2 == 0);
  }

  /** Plans once; nothing is started. `measured`: with the usage ledger brought up to date. */
  size_t Plan(bool measured) {
    rig_.now += millis(1);
    return rig_.Plan(measured).starts.size();
  }

  int crowding() const { return rig_.usage.crowding(); }

 private:
  int Draw(int most) { return static_cast<int>(random_() % static_cast<uint32_t>(most)); }

  void Add(std::string_view queue, int tasks, int accelerators, bool gang, bool first) {
    batch_job job = MakeBatchJob("", queue, tasks, millis(10000), accelerators, gang);
    job.organisation = plan_rig::Organisation(first ? 0 : 1 + Draw(kOrganisations - 1));
    job.steps[0].same_rack = gang;
    rig_.Add(std::move(job));
  }

  std::mt19937 random_{7};
  plan_rig rig_;
};

void PlanBatchRound(benchmark::State& state, const char* order, bool measured) {
  batch_planning_rig rig(order);
  std::vector<double> times;
  size_t starts = 0;
  for (auto _ : state) {
    const auto begun = std::chrono::steady_clock::now();
    starts = rig.Plan(measured);
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begun;
    times.push_back(took.count());
  }
  std::sort(times.begin(), times.end());
  state.counters["p50_ms"] = times[times.size() / 2];
  state.counters["p99_ms"] = times[times.size() * 99 / 100];
  state.counters["starts"] = static_cast<double>(starts);
  state.counters["crowding"] = rig.crowding();
}
BENCHMARK_CAPTURE(PlanBatchRound, deadline, "deadline", false)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(kRounds);
BENCHMARK_CAPTURE(PlanBatchRound, fair_deadline, "fair_deadline", true)
    ->Unit(benchmark::kMillisecond)
    ->Iterations(kRounds);

}  // namespace
}  // namespace eelgrass

BENCHMARK_MAIN();
