/** \file
 * What is done about stalled runs and about workers on which runs fail.
 */
#pragma once

#include <span>
#include <vector>

#include "kernel/stragglers/stalled_run_finder.h"
#include "kernel/stragglers/worker_quarantine.h"

namespace eelgrass {

/** Joins the finder of stalled runs and the quarantine. */
class straggler_control {
 public:
  explicit straggler_control(straggler_bounds bounds) : stalls_(bounds) {}

  /**
   * Quarantines workers and returns the units to stop, so that they start elsewhere. Only units
   * whose workers are in quarantine, or advance with other runs, would start elsewhere.
   */
  std::vector<unit_ref> Decide(std::span<const run_outcome> outcomes, const planning_view& view,
                               worker_pool& pool);

  int64_t units_moved() const { return moved_; }
  int64_t quarantines() const { return quarantine_.total(); }

 private:
  stalled_run_finder stalls_;
  worker_quarantine quarantine_;
  int64_t moved_ = 0;
};

/** Number of workers that get no starts, or only a probe. */
int64_t CountQuarantined(const worker_pool& pool, millis now);

}  // namespace eelgrass
