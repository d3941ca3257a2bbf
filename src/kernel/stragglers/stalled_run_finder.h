/** \file
 * Finds runs that stand still on a worker that responds.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

#include "kernel/placement/planning_view.h"

namespace eelgrass {

/** Times that a stop and a start elsewhere take. */
struct straggler_bounds {
  millis restore{250};       // start from a checkpoint
  millis stop_timeout{400};  // of a stop
};

/** A unit of which at least one member stands still. */
struct stalled_unit {
  unit_ref unit;
  std::vector<std::string> workers;  // that the members at fault run on
  std::vector<std::string> accused;  // those of them on which nothing else advances
  int64_t run = 0;
  int64_t percent = 0;     // of the member that has stood still the longest
  millis stalled{0};       // its time without progress
  millis listed_ago{0};    // age of its latest listing
  millis gain{0};          // expected from starting elsewhere; may be negative
  bool first_seen = true;  // this run has not been found before
};

/**
 * Compares what workers list with the progress that a run should have made. Addresses tasks that
 * stand still for seconds on some workers, which the lease does not detect because the worker
 * responds. Deployments whose workers list no progress, or 98 percent or more from the start, are
 * never affected.
 */
class stalled_run_finder {
 public:
  explicit stalled_run_finder(straggler_bounds bounds) : bounds_(bounds) {}

  /** The units that stand still now and have not been moved too often. */
  std::vector<stalled_unit> Find(const planning_view& view);

  /** Records that a unit is stopped in order to start elsewhere. */
  void OnMoved(const unit_ref& unit) { ++found_[unit].moves; }

 private:
  struct member {
    const pool_worker* worker = nullptr;
    const run_record* record = nullptr;
  };
  struct memory {
    int moves = 0;
    int64_t run = 0;  // latest one that was found
  };
  using step_key = std::tuple<std::string, int, int>;

  std::optional<stalled_unit> Judge(const unit_ref& unit, std::span<const member> members,
                                    std::optional<double> step_rate, const planning_view& view);
  void Forget(const job_table& jobs);

  const straggler_bounds bounds_;
  std::map<unit_ref, memory> found_;  // units of open jobs only
};

}  // namespace eelgrass
