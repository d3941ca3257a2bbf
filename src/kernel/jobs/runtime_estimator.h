/** \file
 * Corrects declared run times.
 */
#pragma once

#include <map>
#include <string>
#include <utility>

#include "kernel/base/millis.h"
#include "kernel/model/job.h"

namespace eelgrass {

/**
 * Learns, for each class and organisation, the ratio of true to declared run time. The ratio moves
 * on a logarithmic scale and is bounded.
 */
class runtime_estimator {
 public:
  /** Expected run time of the whole job. */
  millis Estimate(const job_spec& spec) const;

  void Learn(const job_spec& spec, millis ran);

 private:
  std::map<std::pair<std::string, std::string>, double> log_ratios_;
};

}  // namespace eelgrass
