/** \file
 * Which of the units that could start goes first.
 */
#pragma once

#include <cstdint>

#include "kernel/base/plugin_registry.h"
#include "kernel/batch/job_table.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

/** Which of the ready units goes first: the interface of the ordering policies. */
class unit_order {
 public:
  virtual ~unit_order() = default;

  /** Smaller goes first. */
  virtual double Rank(const tracked_job& job, const batch_queue& queue, millis now) const = 0;
};

using unit_order_registry = plugin_registry<unit_order>;

template <typename Implementation>
using unit_order_registration =
    plugin_registration<unit_order_registry, unit_order, Implementation>;

/** Estimated work of the longest chain of steps of one occurrence. */
millis LongestChain(const batch_job& job);

/** How long after its acceptance a job may end and still be in time. */
millis Objective(const tracked_job& job, const batch_queue& queue);

/** A job that ends later than this many times its objective is worth nothing any more. */
inline constexpr int64_t kLateFactor = 3;

/** Whether a queue's jobs are of the first priority. */
inline bool IsUrgent(const batch_queue& queue) { return queue.priority == 0; }

}  // namespace eelgrass
