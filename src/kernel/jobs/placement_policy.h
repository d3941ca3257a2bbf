/** \file
 * Where a gang's tasks go: the interface of the placement plug-ins.
 */
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "kernel/base/plugin_registry.h"
#include "kernel/model/document.h"
#include "kernel/model/resources.h"

namespace eelgrass {

/** What one worker offers to one job. */
struct available_worker {
  std::string_view worker;
  std::string_view rack;
  std::string_view domain;
  std::string_view region;
  resources available;           // that the job may use
  resources capacity;            // of the worker
  double displacement_cost = 0;  // share of the room that other jobs would have to leave
};

/** The shape of a gang. */
struct gang_shape {
  int tasks = 1;
  resources each;
  adjacency within = adjacency::kAny;
};

/** Tasks on one worker. */
struct placed_part {
  size_t worker = 0;  // index into the rooms
  int tasks = 0;
};

/** Chooses workers for a whole gang. Stateless. */
class placement_policy {
 public:
  virtual ~placement_policy() = default;

  /** Fills `parts` with a place for every task; false when the gang does not fit. */
  virtual bool Place(const gang_shape& shape, std::span<const available_worker> workers,
                     std::vector<placed_part>& parts) const = 0;
};

using placement_registry = plugin_registry<placement_policy>;

template <typename Implementation>
using placement_registration =
    plugin_registration<placement_registry, placement_policy, Implementation>;

/** The group within which the tasks of a gang of this adjacency have to stay. */
std::string_view GroupOf(const available_worker& worker, adjacency within);

}  // namespace eelgrass
