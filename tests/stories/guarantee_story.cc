#include <doctest/doctest.h>

#include <functional>
#include <random>

#include "kernel/jobs/cluster.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/jobs/job_scheduler.h"
#include "tests/world/announce_worker.h"

namespace eelgrass {
namespace {

constexpr resources kNode{8, 32, 128};

std::vector<ledger_worker> Workers(int racks, int per_rack) {
  std::vector<ledger_worker> workers;
  for (int r = 0; r < racks; ++r) {
    for (int w = 0; w < per_rack; ++w) {
      const std::string rack = "r" + std::to_string(r);
      workers.push_back(
          {rack + "w" + std::to_string(w), rack, "d" + std::to_string(r), "z", kNode});
    }
  }
  return workers;
}

document Guarantees(const std::vector<std::vector<guarantee>>& by_owner) {
  document doc;
  for (size_t i = 0; i < by_owner.size(); ++i) {
    organisation owner;
    owner.name = "o" + std::to_string(i);
    owner.guarantees = by_owner[i];
    doc.organisations.push_back(owner);
  }
  job_class kind;
  kind.name = "c";
  kind.checkpoint_ms = millis(1000);
  doc.job_classes.push_back(kind);
  return doc;
}

guarantee Shape(int accelerators, adjacency within, int count) {
  return {{accelerators, 0, 0}, within, count};
}

resources NoUsage(std::string_view, std::string_view) { return {}; }

/**
 * An independent judge: whether shapes of accelerators can be carved out of the free accelerators
 * of the workers, by trying every way. Knows nothing of cells.
 */
bool CanCarve(std::vector<int> free, const std::vector<int>& rack_of,
              std::vector<guarantee> shapes) {
  if (shapes.empty()) return true;
  const guarantee shape = shapes.back();
  shapes.pop_back();
  const int need = shape.shape.accelerators;
  if (shape.within == adjacency::kWorker) {
    for (size_t w = 0; w < free.size(); ++w) {
      if (free[w] < need) continue;
      auto rest = free;
      rest[w] -= need;
      if (CanCarve(rest, rack_of, shapes)) return true;
    }
    return false;
  }
  // Every way to take `need` from the workers of one rack.
  std::function<bool(size_t, int, int, std::vector<int>)> take = [&](size_t w, int rack, int left,
                                                                     std::vector<int> rest) {
    if (left == 0) return CanCarve(rest, rack_of, shapes);
    if (w == rest.size()) return false;
    const int most = rack_of[w] == rack ? std::min(left, rest[w]) : 0;
    for (int count = most; count >= 0; --count) {
      auto next = rest;
      next[w] -= count;
      if (take(w + 1, rack, left - count, next)) return true;
    }
    return false;
  };
  const int racks = rack_of.back() + 1;
  for (int rack = 0; rack < racks; ++rack) {
    if (take(0, rack, need, free)) return true;
  }
  return false;
}

TEST_CASE("guarantees that sum up to the whole capacity") {
  const auto workers = Workers(2, 2);
  const document doc = Guarantees({{Shape(16, adjacency::kRack, 1)},
                                   {Shape(8, adjacency::kWorker, 1)},
                                   {Shape(4, adjacency::kWorker, 2)}});
  guarantee_ledger ledger;
  ledger.Update(doc, workers, NoUsage);

  SUBCASE("all have a place, and no accelerator backs two of them") {
    CHECK(ledger.suspended() == 0);
    for (const auto& worker : workers) CHECK(ledger.Held(worker.id).Fits(kNode));
  }
  SUBCASE("a cell brings the worker's cores and memory in proportion") {
    for (const auto& cell : ledger.cells()) {
      if (cell.shape.accelerators != 4) continue;
      CHECK(cell.shares[0].amount == resources{4, 16, 64});
    }
  }
  SUBCASE("when a worker is lost, what does not fit is suspended and the rest keeps its place") {
    auto fewer = workers;
    const std::string lost = fewer.back().id;
    fewer.pop_back();
    ledger.Update(doc, fewer, NoUsage);
    CHECK(ledger.suspended() >= 1);
    CHECK(ledger.Held(lost).empty());
    SUBCASE("and everything is backed again when it comes back") {
      ledger.Update(doc, workers, NoUsage);
      CHECK(ledger.suspended() == 0);
    }
  }
}

TEST_CASE("whatever jobs start and end, unused guarantees can be had back") {
  // Small clusters, judged by trying every way to carve; fixed seeds.
  for (uint64_t seed = 1; seed <= 120; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto workers = Workers(2, 2);
    const document doc = Guarantees({{Shape(16, adjacency::kRack, 1)},
                                     {Shape(8, adjacency::kWorker, 1)},
                                     {Shape(4, adjacency::kWorker, 2)}});
    guarantee_ledger ledger;
    ledger.Update(doc, workers, NoUsage);
    cluster machines;
    std::set<std::string, std::less<>> usable;
    for (const auto& worker : workers) {
      AnnounceWorker(machines, worker);
      usable.insert(worker.id);
    }
    job_scheduler scheduler(queue_registry::Instance().Create("fair_share").value(),
                            placement_registry::Instance().Create("best_fit").value());
    runtime_estimator estimator;
    failure_tracker failures;
    std::vector<job_row> running;
    for (int step = 0; step < 25; ++step) {
      job_row row;
      row.id = "j" + std::to_string(step);
      row.spec.organisation = "o" + std::to_string(random() % 3);
      row.spec.job_class = "c";
      row.spec.tasks = 1 + static_cast<int>(random() % 3);
      row.spec.per_task = {1 << (random() % 4), 0, 0};
      row.spec.within = random() % 2 == 0 ? adjacency::kRack : adjacency::kAny;
      row.state = job_state::kRunning;
      std::vector<const job_row*> waiting{&row};
      std::vector<const job_row*> active;
      for (const auto& other : running) active.push_back(&other);
      const millis now = millis(1000) * step;
      const schedule_view view{doc,     machines, ledger, estimator, failures,
                               waiting, active,   usable, now,       now};
      const auto decisions = scheduler.Plan(view);
      for (const auto& decision : decisions) {
        for (const auto& victim : decision.evictions) {
          REQUIRE(machines.FindAllocation(victim.job)->borrowing);
          machines.Free(victim.job);
          std::erase_if(running, [&](const auto& r) { return r.id == victim.job; });
        }
        row.members = decision.members;
        running.push_back(row);
      }
      if (!running.empty() && random() % 3 == 0) {
        const size_t ended = random() % running.size();
        machines.Free(running[ended].id);
        running.erase(running.begin() + static_cast<long>(ended));
      }
      // With the borrowers gone, the shapes of all owners that use none of theirs still fit.
      std::vector<int> free;
      std::vector<int> rack_of;
      for (const auto& worker : workers) {
        const worker_state& state = *machines.Find(worker.id);
        REQUIRE(state.free().valid());
        free.push_back(kNode.accelerators - state.own.accelerators);
        rack_of.push_back(worker.rack[1] - '0');
      }
      std::vector<guarantee> unused;
      for (const auto& owner : doc.organisations) {
        bool uses = false;
        for (const auto& worker : workers) {
          uses = uses || !machines.OwnUsage(owner.name, worker.id).empty();
        }
        if (uses) continue;
        for (const auto& promised : owner.guarantees) {
          for (int i = 0; i < promised.count; ++i) unused.push_back(promised);
        }
      }
      REQUIRE(CanCarve(free, rack_of, unused));
    }
  }
}

TEST_CASE("at the size of the target") {
  std::vector<ledger_worker> workers;
  document doc;
  for (int w = 0; w < 1000; ++w) {
    const int rack = w / 25;
    const int accelerators = w < 150 ? 8 : 0;
    workers.push_back({"w" + std::to_string(w),
                       "r" + std::to_string(rack),
                       "d" + std::to_string(rack % 6),
                       "z" + std::to_string(rack % 2),
                       {accelerators, 64, 256}});
  }
  for (int i = 0; i < 71; ++i) {
    organisation owner;
    owner.name = "team" + std::to_string(i);
    owner.guarantees.push_back({{8, 0, 0}, adjacency::kWorker, 2});
    doc.organisations.push_back(owner);
  }
  guarantee_ledger ledger;
  ledger.Update(doc, workers, NoUsage);
  CHECK(ledger.suspended() == 0);
}

}  // namespace
}  // namespace eelgrass
