/** \file
 * The order in which ready units are placed.
 */
#pragma once

#include <cstdint>

#include "kernel/base/plugin_registry.h"
#include "kernel/batch/job_table.h"
#include "kernel/model/batch_config.h"
#include "kernel/sharing/order_input.h"

namespace eelgrass {

/** Interface of the policies that order ready units. */
class unit_order {
 public:
  virtual ~unit_order() = default;

  /** The job's rank; units with a smaller rank are placed first. */
  virtual double Rank(const tracked_job& job, const batch_queue& queue,
                      const order_input& input) const = 0;
};

using unit_order_registry = plugin_registry<unit_order>;

template <typename Implementation>
using unit_order_registration =
    plugin_registration<unit_order_registry, unit_order, Implementation>;

/** Estimated duration of the longest chain of dependent steps in one occurrence. */
millis LongestChain(const batch_job& job);

/** The same, corrected by what the job's runs or its queue have shown. */
millis LongestChain(const tracked_job& job);

/** Corrected duration of the longest chain of steps that depend on a step, without that step. */
millis ChainAfter(const tracked_job& job, int step);

/** Time from acceptance within which a job has to end to be in time, by the caller's estimates. */
millis Objective(const batch_job& job, const batch_queue& queue);

/** The same, by the corrected estimates. */
millis Objective(const tracked_job& job, const batch_queue& queue);

/** A job that ends after this many times its objective has no value any more. */
inline constexpr int64_t kLateFactor = 3;

/** Whether a queue's jobs are of the first priority. */
inline bool IsUrgent(const batch_queue& queue) { return queue.priority == 0; }

}  // namespace eelgrass
