/** \file
 * Interface of the placement plug-ins, which assign a gang's tasks to workers.
 */
#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "kernel/base/plugin_registry.h"
#include "kernel/model/document.h"
#include "kernel/model/resources.h"

namespace eelgrass {

/** A worker and the capacity that it has available for one job. */
struct available_worker {
  std::string_view worker;
  std::string_view rack;
  std::string_view domain;
  std::string_view region;
  resources available;           // capacity that the job may use
  resources capacity;            // of the worker
  double displacement_cost = 0;  // share of the worker that is occupied, promised or to be evicted
};

/** The shape of a gang. */
struct gang_shape {
  int tasks = 1;
  resources each;
  adjacency within = adjacency::kAny;
};

/** Tasks on one worker. */
struct placed_part {
  size_t worker = 0;  // index into `workers`
  int tasks = 0;
};

/** Assigns all tasks of a gang to workers. Implementations are stateless. */
class placement_policy {
 public:
  virtual ~placement_policy() = default;

  /** Fills `parts` with an assignment of every task; returns false if the gang does not fit. */
  virtual bool Place(const gang_shape& shape, std::span<const available_worker> workers,
                     std::vector<placed_part>& parts) const = 0;
};

using placement_registry = plugin_registry<placement_policy>;

template <typename Implementation>
using placement_registration =
    plugin_registration<placement_registry, placement_policy, Implementation>;

/** Name of the worker's group that must contain all tasks of a gang of this adjacency. */
std::string_view GroupOf(const available_worker& worker, adjacency within);

}  // namespace eelgrass
