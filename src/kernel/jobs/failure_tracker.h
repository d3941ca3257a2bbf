/** \file
 * Distinguishes failing workers from failing jobs.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * A worker on which several different jobs fail is quarantined, each time for longer, and then runs
 * one job at a time until one succeeds. Failures of a job that has also failed on other workers do
 * not count against the worker; failures on a quarantined worker do not count against the job.
 */
class failure_tracker {
 public:
  void RecordFailure(std::string_view job, std::string_view worker, millis now);
  void RecordSuccess(std::string_view job, std::string_view worker);

  /** Removes the failures of a job that will not run again. */
  void Forget(std::string_view job);

  bool Quarantined(std::string_view worker, millis now) const;

  /** Whether the worker's quarantine is over and no job has succeeded on it since. */
  bool OnProbation(std::string_view worker, millis now) const;

  /** Number of distinct workers on which the job failed, without those that are suspect. */
  int CountedFailures(std::string_view job) const;

  millis QuarantinedUntil(std::string_view worker) const;

 private:
  struct failure_record {
    std::set<std::string, std::less<>> failed_jobs;  // since the last success
    int quarantines = 0;
    millis until{0};
    bool suspect = false;  // set until a job succeeds
  };

  int BlamedJobs(const failure_record& worker, std::string_view name) const;

  std::map<std::string, failure_record, std::less<>> workers_;
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>> jobs_;  // job to workers
};

}  // namespace eelgrass
