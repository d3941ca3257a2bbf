#include "kernel/jobs/guarantee_ledger.h"

#include <algorithm>
#include <tuple>

namespace eelgrass {
namespace {

/** The smallest unit in which a cell is divided between workers. */
resources PieceOf(const guarantee_cell& cell, const resources& worker) {
  const resources& shape = cell.shape;
  if (shape.accelerators == 0) {
    const int cores = std::max(1, shape.cores);
    return {0, shape.cores > 0 ? 1 : 0, shape.memory_gb / cores};
  }
  const int parts = shape.accelerators;
  const int of_worker = std::max(1, worker.accelerators);
  const int cores = shape.cores > 0 ? (shape.cores + parts - 1) / parts : worker.cores / of_worker;
  const int memory =
      shape.memory_gb > 0 ? (shape.memory_gb + parts - 1) / parts : worker.memory_gb / of_worker;
  return {1, cores, memory};
}

int PieceCount(const guarantee_cell& cell) {
  return cell.shape.accelerators > 0 ? cell.shape.accelerators : std::max(1, cell.shape.cores);
}

std::string GroupKey(const ledger_worker& worker, adjacency within) {
  switch (within) {
    case adjacency::kWorker:
      return worker.id;
    case adjacency::kRack:
      return worker.rack;
    case adjacency::kDomain:
      return worker.domain;
    case adjacency::kRegion:
      return worker.region;
    case adjacency::kAny:
      return {};
  }
  return {};
}

/** How many pieces of a cell fit on each worker of one group. */
struct group_fit {
  int total = 0;
  int largest = 0;
  std::vector<std::pair<int, const ledger_worker*>> workers;
};

auto CellIdentity(const guarantee_cell& cell) {
  return std::tie(cell.organisation, cell.guarantee, cell.index);
}

}  // namespace

std::vector<ledger_worker> DeclaredWorkers(const document& doc, std::string_view without_domain) {
  std::vector<ledger_worker> workers;
  for (const auto& domain : doc.domains) {
    if (domain.name == without_domain) continue;
    for (const auto& rack : domain.racks) {
      const std::string name = domain.name + "/" + rack.name;
      for (int i = 0; i < rack.workers; ++i) {
        workers.push_back(
            {name + "/" + std::to_string(i), name, domain.name, domain.region, rack.each});
      }
    }
  }
  return workers;
}

void guarantee_ledger::Update(const document& doc, std::span<const ledger_worker> workers,
                              const own_usage& usage) {
  MatchCells(doc);
  capacity_by_worker available;
  for (const auto& worker : workers) available[worker.id] = worker.capacity;
  const auto take = [&available](const guarantee_cell& cell) {
    for (const auto& share : cell.shares) available[share.worker] -= share.amount;
  };
  for (auto& cell : cells_) {
    const bool complete =
        std::all_of(cell.shares.begin(), cell.shares.end(), [&](const auto& share) {
          const auto found = available.find(share.worker);
          return found != available.end() && share.amount.Fits(found->second);
        });
    if (!complete) cell.shares.clear();
    take(cell);
  }
  Pack(workers, cells_, available);
  Index();
  if (suspended() == 0) return;
  // Repacks around the shares in use and keeps the result if it backs more pieces.
  std::vector<guarantee_cell> repacked = cells_;
  for (const auto& worker : workers) available[worker.id] = worker.capacity;
  for (auto& cell : repacked) {
    const bool used = std::any_of(cell.shares.begin(), cell.shares.end(), [&](const auto& share) {
      return !usage(cell.organisation, share.worker).empty();
    });
    if (!used) cell.shares.clear();
    take(cell);
  }
  Pack(workers, repacked, available);
  const auto served = [](const auto& cells) {
    int accelerators = 0;
    for (const auto& cell : cells) {
      if (!cell.suspended()) accelerators += PieceCount(cell);
    }
    return accelerators;
  };
  if (served(repacked) <= served(cells_)) return;
  cells_ = std::move(repacked);
  Index();
}

void guarantee_ledger::MatchCells(const document& doc) {
  std::vector<guarantee_cell> wanted;
  for (const auto& owner : doc.organisations) {
    for (size_t g = 0; g < owner.guarantees.size(); ++g) {
      for (int i = 0; i < owner.guarantees[g].count; ++i) {
        guarantee_cell cell;
        cell.organisation = owner.name;
        cell.guarantee = static_cast<int>(g);
        cell.index = i;
        cell.shape = owner.guarantees[g].shape;
        cell.within = owner.guarantees[g].within;
        wanted.push_back(std::move(cell));
      }
    }
  }
  for (auto& cell : wanted) {
    const auto same = std::find_if(cells_.begin(), cells_.end(), [&](const auto& known) {
      return CellIdentity(known) == CellIdentity(cell) && known.shape == cell.shape &&
             known.within == cell.within;
    });
    if (same != cells_.end()) cell.shares = std::move(same->shares);
  }
  cells_ = std::move(wanted);
}

void guarantee_ledger::Pack(std::span<const ledger_worker> workers,
                            std::vector<guarantee_cell>& cells,
                            capacity_by_worker& available) const {
  std::vector<guarantee_cell*> missing;
  for (auto& cell : cells) {
    if (cell.suspended()) missing.push_back(&cell);
  }
  std::stable_sort(missing.begin(), missing.end(), [](const auto* a, const auto* b) {
    const auto order = [](const guarantee_cell& cell) {
      return std::make_tuple(-PieceCount(cell), cell.within, cell.index, cell.guarantee);
    };
    return order(*a) < order(*b);
  });
  for (auto* cell : missing) PlaceCell(workers, *cell, available);
}

bool guarantee_ledger::PlaceCell(std::span<const ledger_worker> workers, guarantee_cell& cell,
                                 capacity_by_worker& available) const {
  const int pieces = PieceCount(cell);
  std::map<std::string, group_fit> groups;
  for (const auto& worker : workers) {
    const int count = CountFitting(PieceOf(cell, worker.capacity), available[worker.id], pieces);
    if (count == 0) continue;
    group_fit& group = groups[GroupKey(worker, cell.within)];
    group.total += count;
    group.largest = std::max(group.largest, count);
    group.workers.emplace_back(count, &worker);
  }
  group_fit* best = nullptr;
  for (auto& [key, group] : groups) {
    if (group.total < pieces) continue;
    if (best == nullptr || group.total < best->total) best = &group;
  }
  if (best == nullptr) return false;
  // `count` is capped at the pieces needed, so for single workers the free capacity selects the
  // best fit.
  if (cell.within == adjacency::kWorker) {
    for (auto& [key, group] : groups) {
      if (group.total < pieces) continue;
      const auto free = [&](const group_fit& g) {
        return available[g.workers.front().second->id].accelerators * 1000 +
               available[g.workers.front().second->id].cores;
      };
      if (free(group) < free(*best)) best = &group;
    }
  }
  std::stable_sort(best->workers.begin(), best->workers.end(),
                   [](const auto& a, const auto& b) { return a.first > b.first; });
  int left = pieces;
  for (size_t i = 0; i < best->workers.size() && left > 0; ++i) {
    // The last part goes to the worker with the least free capacity that can hold it.
    size_t chosen = i;
    for (size_t j = i; j < best->workers.size(); ++j) {
      if (best->workers[j].first >= left) chosen = j;
    }
    std::swap(best->workers[i], best->workers[chosen]);
    const ledger_worker& worker = *best->workers[i].second;
    const int count = std::min(left, best->workers[i].first);
    const resources amount = PieceOf(cell, worker.capacity) * count;
    available[worker.id] -= amount;
    cell.shares.push_back({worker.id, amount});
    left -= count;
  }
  return true;
}

void guarantee_ledger::Index() {
  shares_.clear();
  held_.clear();
  for (const auto& cell : cells_) {
    for (const auto& share : cell.shares) {
      shares_[cell.organisation][share.worker] += share.amount;
      held_[share.worker] += share.amount;
    }
  }
}

resources guarantee_ledger::Share(std::string_view organisation, std::string_view worker) const {
  const auto& shares = SharesOf(organisation);
  const auto share = shares.find(worker);
  return share == shares.end() ? resources{} : share->second;
}

const std::map<std::string, resources, std::less<>>& guarantee_ledger::SharesOf(
    std::string_view organisation) const {
  static const std::map<std::string, resources, std::less<>> kNone;
  const auto owner = shares_.find(organisation);
  return owner == shares_.end() ? kNone : owner->second;
}

resources guarantee_ledger::Held(std::string_view worker) const {
  const auto found = held_.find(worker);
  return found == held_.end() ? resources{} : found->second;
}

int guarantee_ledger::suspended() const {
  return static_cast<int>(std::count_if(cells_.begin(), cells_.end(),
                                        [](const auto& cell) { return cell.suspended(); }));
}

}  // namespace eelgrass
