/** \file
 * The jobs that are within their organisation's guarantee.
 */
#pragma once

#include <set>
#include <string>

#include "kernel/batch/job_table.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

/**
 * An organisation's open jobs of the first priority are guaranteed in order of acceptance, as long
 * as together they need no more than the organisation's guarantee. This addresses loads in which
 * organisations ask for more urgent work than was promised to them: preemption serves the promised
 * part first, and fair shares never delay it.
 */
class guaranteed_jobs {
 public:
  /** Determines the guaranteed jobs of one plan. */
  void Read(const job_table& jobs, const batch_config& config);

  bool Contains(const std::string& job) const { return jobs_.contains(job); }

 private:
  std::set<std::string> jobs_;
};

}  // namespace eelgrass
