/** \file
 * Time of one planning decision, by the number of workers.
 */
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <random>

#include "kernel/jobs/job_scheduler.h"
#include "tests/world/announce_worker.h"

namespace eelgrass {
namespace {

constexpr int kTasksPerThousand = 6400;
constexpr int kWaiting = 500;
constexpr int kTeams = 71;

/** A cluster in which as much runs and waits as at the target, scaled by its workers. */
class planning_rig {
 public:
  explicit planning_rig(int workers)
      : scheduler_(queue_registry::Instance().Create("fair_share").value(),
                   placement_registry::Instance().Create("best_fit").value()) {
    MakeDocument();
    MakeWorkers(workers);
    MakeJobs(workers);
  }

  /** Plans once, and takes back what was decided. */
  size_t Plan() {
    const schedule_view view{doc_,     machines_, ledger_, estimator_,   failures_,
                             waiting_, running_,  usable_, millis(1000), millis(100000000)};
    const auto decisions = scheduler_.Plan(view);
    for (const auto& decision : decisions) machines_.Free(decision.job);
    return decisions.size();
  }

 private:
  void MakeDocument() {
    for (int i = 0; i < kTeams; ++i) {
      organisation team;
      team.name = "team-" + std::to_string(i);
      team.guarantees.push_back({{8, 0, 0}, adjacency::kWorker, 2});
      doc_.organisations.push_back(team);
    }
    for (int i = 0; i < 6; ++i) {
      doc_.domains.push_back({"d" + std::to_string(i), "r", false, window_mode::kMove, {}});
    }
    job_class kind;
    kind.name = "normal";
    kind.checkpoint_ms = millis(1000);
    doc_.job_classes.push_back(kind);
  }

  void MakeWorkers(int count) {
    std::vector<ledger_worker> workers;
    for (int i = 0; i < count; ++i) {
      const int rack = i / 25;
      const bool fast = i * 1000 < count * 150 || count <= 10;
      ledger_worker worker{"w" + std::to_string(i),
                           "k" + std::to_string(rack),
                           "d" + std::to_string(rack % 6),
                           "r",
                           {fast ? 8 : 0, 64, 256}};
      AnnounceWorker(machines_, worker);
      usable_.insert(worker.id);
      workers.push_back(std::move(worker));
    }
    ledger_.Update(doc_, workers, [](std::string_view, std::string_view) { return resources{}; });
  }

  job_row MakeJob(const std::string& id, int tasks, resources each) {
    job_row row;
    row.id = id;
    row.spec.organisation = "team-" + std::to_string(random_() % kTeams);
    row.spec.job_class = "normal";
    row.spec.tasks = tasks;
    row.spec.per_task = each;
    row.spec.declared_ms = millis(static_cast<int64_t>(1000 + random_() % 10000000));
    return row;
  }

  void MakeJobs(int workers) {
    const int tasks = kTasksPerThousand * workers / 1000;
    for (int placed = 0, i = 0; placed < tasks; ++i) {
      job_row row = MakeJob("run" + std::to_string(i), 4, {0, 8, 16});
      row.state = job_state::kRunning;
      row.borrowing = true;
      for (int m = 0; m < 4; ++m) {
        const std::string worker = "w" + std::to_string(random_() % static_cast<size_t>(workers));
        row.members.push_back({worker, worker, 1, {0, 8, 16}});
      }
      machines_.Allocate(row.id, {row.spec.organisation, row.members, true});
      placed += 4;
      rows_.push_back(std::move(row));
    }
    const size_t active = rows_.size();
    rows_.push_back(MakeJob("gang", 128, {8, 16, 32}));
    for (int i = 1; i < kWaiting; ++i) {
      const int size = 1 << (random_() % 4);
      rows_.push_back(MakeJob("wait" + std::to_string(i), 1 + static_cast<int>(random_() % 8),
                              {size, size * 4, 0}));
    }
    for (size_t i = 0; i < rows_.size(); ++i) {
      (i < active ? running_ : waiting_).push_back(&rows_[i]);
    }
  }

  std::mt19937_64 random_{7};
  document doc_;
  cluster machines_;
  guarantee_ledger ledger_;
  runtime_estimator estimator_;
  failure_tracker failures_;
  job_scheduler scheduler_;
  std::set<std::string, std::less<>> usable_;
  std::vector<job_row> rows_;
  std::vector<const job_row*> waiting_;
  std::vector<const job_row*> running_;
};

void PlanRound(benchmark::State& state) {
  planning_rig rig(static_cast<int>(state.range(0)));
  std::vector<double> times;
  size_t decided = 0;
  for (auto _ : state) {
    const auto begun = std::chrono::steady_clock::now();
    decided = rig.Plan();
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - begun;
    times.push_back(took.count());
  }
  std::sort(times.begin(), times.end());
  state.counters["p99_ms"] = times[times.size() * 99 / 100];
  state.counters["starts"] = static_cast<double>(decided);
  state.counters["ms_a_start"] =
      decided > 0 ? times[times.size() / 2] / static_cast<double>(decided) : 0;
}
BENCHMARK(PlanRound)->Arg(10)->Arg(50)->Arg(100)->Arg(200)->Arg(1000)->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace eelgrass

BENCHMARK_MAIN();
