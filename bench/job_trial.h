/** \file
 * One measured run of the scheduler over a stream of jobs.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/jobs/job_scheduler.h"

namespace eelgrass {

/** What is run. */
struct trial_options {
  uint64_t seed = 1;
  std::string ordering = "fair_share";
  std::string placement = "best_fit";
  double load = 0.95;  // offered accelerator time as a share of the capacity
  int jobs = 400;
  bool true_times = false;  // the scheduler is told the true run times
  bool domain_out = false;  // the first failure domain is out for the middle third
};

/** What came of it. Times are in seconds of virtual time. */
struct trial_result {
  double mean_completion = 0;
  double p50_completion = 0;
  double p95_completion = 0;
  double mean_slowdown = 0;  // completion over run time
  double largest_wait = 0;   // mean wait of the largest class
  double fragmentation = 0;  // share of accelerator time idle while a gang as big waits
  double mean_reclaim = 0;   // from wanting a guarantee with borrowers on it to having it
  double domain_work = 0;    // work done while the domain is out, of what capacity allows
  int evictions = 0;
  int violations = 0;  // guarantees that were not reclaimable, or overfull workers
};

/** Runs jobs through scheduler, guarantees and evictions, event by event. */
trial_result RunTrial(const document& doc, const trial_options& options);

/** Median of a list. */
double Median(std::vector<double> values);

}  // namespace eelgrass
