/** \file
 * Removes ended runs from the planner's records, and gives up runs without a reported end.
 */
#pragma once

#include <optional>
#include <string_view>

#include "kernel/base/millis.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/**
 * Removes runs from their workers, so that their units may start again. A run is given up when it
 * has ended without being listed as ended or rejected. Its unit then waits until the term has been
 * confirmed after that time, because another planner may have received the end.
 */
class run_closer {
 public:
  run_closer(job_table& jobs, worker_pool& pool) : jobs_(jobs), pool_(pool) {}

  /** Sets the term for log messages. */
  void Begin(int64_t term) { term_ = term; }

  /** Removes a run that has ended; does nothing if it is not on the worker. */
  void Close(pool_worker& worker, const run_ref& run);

  /** Gives up all runs on a worker, which had ended by the given time. */
  void GiveUpAll(pool_worker& worker, std::string_view reason, millis over);

  /** Gives up runs of a former incarnation that the current one does not list under its fence. */
  void GiveUpFormerIncarnation(pool_worker& worker, const worker_report& report, millis now);

  /**
   * Gives up the runs on workers whose lease ended before the last time at which the term was
   * certainly held. Returns a time after which the term has to be confirmed: the end of a lease
   * that appears to have expired, or the time of a run that was given up.
   */
  std::optional<millis> GiveUpLapsed(millis now, millis confirmed);

  /** Number of runs given up in this term. */
  int64_t given_up() const { return given_up_; }

  /** A counter that increases with every removed run. */
  int64_t changes() const { return changes_; }

 private:
  void GiveUp(pool_worker& worker, const run_ref& run, std::string_view reason, millis over);

  job_table& jobs_;
  worker_pool& pool_;
  int64_t term_ = 0;
  int64_t changes_ = 0;
  int64_t given_up_ = 0;
  millis last_given_up_{INT64_MIN / 4};
};

}  // namespace eelgrass
