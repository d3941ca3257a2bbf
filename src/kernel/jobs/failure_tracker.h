/** \file
 * Tells failing workers from failing jobs.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * A worker on which several different jobs fail is quarantined for a growing time and then takes
 * one job at a time until one succeeds. Failures of a job that has also failed on other workers do
 * not count against the worker; failures on a quarantined worker do not count against the job.
 */
class failure_tracker {
 public:
  void RecordFailure(std::string_view job, std::string_view worker, millis now);
  void RecordSuccess(std::string_view job, std::string_view worker);

  /** Forgets a job that will not run again. */
  void Forget(std::string_view job);

  bool Quarantined(std::string_view worker, millis now) const;

  /** Whether the worker is back from quarantine and has to prove itself. */
  bool OnProbation(std::string_view worker, millis now) const;

  /** Distinct workers on which the job failed by its own fault, as far as is known. */
  int CountedFailures(std::string_view job) const;

  millis QuarantinedUntil(std::string_view worker) const;

 private:
  struct failure_record {
    std::set<std::string, std::less<>> failed_jobs;  // since the last success
    int quarantines = 0;
    millis until{0};
    bool suspect = false;  // until a job succeeds
  };

  int BlamedJobs(const failure_record& worker, std::string_view name) const;

  std::map<std::string, failure_record, std::less<>> workers_;
  std::map<std::string, std::set<std::string, std::less<>>, std::less<>> jobs_;  // to workers
};

}  // namespace eelgrass
