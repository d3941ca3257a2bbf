/** \file
 * Explains to operators why a job waits.
 */
#pragma once

#include <map>
#include <string>

#include "kernel/jobs/cluster.h"
#include "kernel/jobs/serving_workers.h"
#include "kernel/model/job.h"

namespace eelgrass {

/** Explanation of a job's state for operators. */
struct job_explanation {
  std::string state;
  int position = 0;  // in the waiting order; 0 if the job is not waiting
  std::string needs;
  std::string why;
};

/** Builds explanations from the planner's rows and its view of the workers. */
class job_explainer {
 public:
  using job_rows = std::map<std::string, job_row, std::less<>>;

  job_explainer(const job_rows& rows, const cluster& machines, const serving_workers& serving);

  /** `starting`: a start of the job is in progress, for which borrowers are being evicted. */
  job_explanation Explain(const job_row& row, bool starting) const;

 private:
  int Position(const job_row& row) const;
  std::string DescribeFreeCapacity(const job_row& row) const;

  const job_rows& rows_;
  const cluster& machines_;
  const serving_workers& serving_;
};

}  // namespace eelgrass
