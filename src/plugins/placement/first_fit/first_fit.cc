/** \file
 * Baseline: takes the first workers that have room, in the order of their names.
 */
#include <map>

#include "kernel/jobs/placement_policy.h"

namespace eelgrass {
namespace {

/** The first group, in order of appearance, that can take the gang. */
class first_fit : public placement_policy {
 public:
  bool Place(const gang_shape& shape, std::span<const available_worker> rooms,
             std::vector<placed_part>& parts) const override {
    std::map<std::string_view, std::vector<placed_part>> groups;
    std::map<std::string_view, int> placed;
    for (size_t i = 0; i < rooms.size(); ++i) {
      const auto group = GroupOf(rooms[i], shape.within);
      const int left = shape.tasks - placed[group];
      const int count = CountFitting(shape.each, rooms[i].available, left);
      if (count == 0) continue;
      groups[group].push_back({i, count});
      placed[group] += count;
      if (placed[group] < shape.tasks) continue;
      parts = std::move(groups[group]);
      return true;
    }
    return false;
  }
};

const placement_registration<first_fit> kRegistration("first_fit");

}  // namespace
}  // namespace eelgrass
