/** \file
 * A cluster of equal workers with jobs of several organisations, planned without any network.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "kernel/placement/start_planner.h"
#include "kernel/sharing/usage_ledger.h"

namespace eelgrass {

/** Plays the part of the run tracker: plans become runs, and runs end after their estimate. */
class plan_rig {
 public:
  plan_rig(std::string_view order, int workers, int organisations, double stretch = 3);

  static std::string Organisation(int number) { return "org-" + std::to_string(number); }

  /** Adds a job of single tasks that each take a whole worker, accepted now. Returns its id. */
  std::string Add(int organisation, std::string_view queue, millis work, int tasks = 1);
  std::string Add(batch_job job);

  /** Makes a unit run from now on. */
  void Start(const unit_start& start);

  /** Ends the runs whose work is done by now. */
  void EndRuns();

  /** Makes a plan; `measured`: with the ledger up to date. */
  start_plan Plan(bool measured = true);

  /** Plans, starts, ends and advances the time until then. */
  void RunUntil(millis until);

  planning_view View(bool measured) const;

  /** From a job's acceptance to the start of its first task; until now if it has not begun. */
  millis Waited(std::string_view job) const;

  job_table jobs{millis(250)};
  worker_pool pool;
  batch_config config;
  usage_ledger usage;
  millis now{0};
  int64_t least_term = 0;

 private:
  std::unique_ptr<unit_order> order_;
  start_planner planner_;
  std::set<std::string> evacuated_;
  worker_speeds speeds_;
  std::map<std::string, millis, std::less<>> began_;  // by job
  int last_job_ = 0;
  int64_t last_run_ = 0;
};

}  // namespace eelgrass
