/** \file
 * Estimates run times of jobs from their declared run times.
 */
#pragma once

#include <map>
#include <string>
#include <utility>

#include "kernel/base/millis.h"
#include "kernel/model/job.h"

namespace eelgrass {

/**
 * Learns the ratio of actual to declared run time for each class and organisation, as an
 * exponential moving average of its bounded logarithm.
 */
class runtime_estimator {
 public:
  /** Expected run time of the whole job, without regard to saved work. */
  millis Estimate(const job_spec& spec) const;

  void Learn(const job_spec& spec, millis ran);

 private:
  std::map<std::pair<std::string, std::string>, double> log_ratios_;
};

}  // namespace eelgrass
