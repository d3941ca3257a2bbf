/** \file
 * Places gangs so that large free shapes stay whole.
 */
#include <algorithm>
#include <tuple>
#include <unordered_map>

#include "kernel/jobs/placement_policy.h"

namespace eelgrass {
namespace {

/** Workers of one group that have room for a task. */
struct group_candidate {
  int tasks = 0;  // that fit
  int free = 0;   // accelerators, or cores where there are none
  double displacement_cost = 0;
  std::vector<placed_part> parts;
};

int FreeUnits(const available_worker& room, const resources& each) {
  return each.accelerators > 0 ? room.available.accelerators : room.available.cores;
}

/**
 * Chooses the group that is disturbed least and, of those, the one with the least room left over.
 * Inside the group a gang with adjacency takes the emptiest workers first, so that it spreads over
 * few; one without fills the fullest first.
 */
class best_fit : public placement_policy {
 public:
  bool Place(const gang_shape& shape, std::span<const available_worker> rooms,
             std::vector<placed_part>& parts) const override {
    if (TooLittle(shape, rooms)) return false;
    std::unordered_map<std::string_view, size_t> index;
    std::vector<group_candidate> groups;
    const bool one_group = shape.within == adjacency::kAny;
    if (one_group) groups.emplace_back().parts.reserve(rooms.size());
    for (size_t i = 0; i < rooms.size(); ++i) {
      const int count = CountFitting(shape.each, rooms[i].available, shape.tasks);
      if (count == 0) continue;
      size_t number = 0;
      if (!one_group) {
        const auto [slot, added] =
            index.try_emplace(GroupOf(rooms[i], shape.within), groups.size());
        if (added) groups.emplace_back();
        number = slot->second;
      }
      group_candidate& group = groups[number];
      group.tasks += count;
      group.free += FreeUnits(rooms[i], shape.each);
      group.displacement_cost += rooms[i].displacement_cost;
      group.parts.push_back({i, count});
    }
    group_candidate* best = nullptr;
    for (auto& group : groups) {
      if (group.tasks < shape.tasks) continue;
      if (best == nullptr || Cost(group) < Cost(*best)) best = &group;
    }
    if (best == nullptr) return false;
    Fill(shape, rooms, *best, parts);
    return true;
  }

 private:
  static std::tuple<double, int> Cost(const group_candidate& group) {
    const double each = group.displacement_cost / static_cast<double>(group.parts.size());
    return {each, group.free};
  }

  static bool TooLittle(const gang_shape& shape, std::span<const available_worker> rooms) {
    int64_t free = 0;
    for (const auto& room : rooms) free += FreeUnits(room, shape.each);
    const int each = shape.each.accelerators > 0 ? shape.each.accelerators : shape.each.cores;
    return free < int64_t{each} * shape.tasks;
  }

  /** A worker's place in the order of preference; the smallest goes first. */
  struct ranked_part {
    double displacement_cost;
    int free;
    placed_part part;

    bool operator<(const ranked_part& other) const {
      return std::tie(displacement_cost, free, part.worker) <
             std::tie(other.displacement_cost, other.free, other.part.worker);
    }
  };

  static void Fill(const gang_shape& shape, std::span<const available_worker> rooms,
                   group_candidate& group, std::vector<placed_part>& parts) {
    const bool spread_little = shape.within != adjacency::kAny;
    std::vector<ranked_part> ranked;
    ranked.reserve(group.parts.size());
    for (const auto& part : group.parts) {
      const available_worker& room = rooms[part.worker];
      const int free = FreeUnits(room, shape.each);
      ranked.push_back({room.displacement_cost, spread_little ? -free : free, part});
    }
    // No more workers than tasks are needed.
    const size_t most = std::min(ranked.size(), static_cast<size_t>(shape.tasks));
    const auto middle = ranked.begin() + static_cast<std::ptrdiff_t>(most);
    if (spread_little) {
      std::sort(ranked.begin(), ranked.end());
    } else {
      std::partial_sort(ranked.begin(), middle, ranked.end());
    }
    group.parts.clear();
    for (const auto& item : ranked) group.parts.push_back(item.part);
    parts.clear();
    int left = shape.tasks;
    for (size_t i = 0; i < group.parts.size() && left > 0; ++i) {
      if (spread_little) PreferTightest(rooms, group.parts, i, left);
      const int count = std::min(left, group.parts[i].tasks);
      parts.push_back({group.parts[i].worker, count});
      left -= count;
    }
  }

  /** Puts at `i` the worker with the least room of those that hold all that is left. */
  static void PreferTightest(std::span<const available_worker> rooms,
                             std::vector<placed_part>& parts, size_t i, int left) {
    size_t chosen = i;
    for (size_t j = i; j < parts.size(); ++j) {
      if (parts[j].tasks < left) continue;
      const auto& room = rooms[parts[j].worker];
      const auto& best = rooms[parts[chosen].worker];
      if (room.displacement_cost > best.displacement_cost) break;
      if (room.available.accelerators <= best.available.accelerators) chosen = j;
    }
    if (parts[chosen].tasks >= left) std::swap(parts[i], parts[chosen]);
  }
};

const placement_registration<best_fit> kRegistration("best_fit");

}  // namespace
}  // namespace eelgrass
