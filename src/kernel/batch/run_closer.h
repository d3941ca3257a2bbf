/** \file
 * Ends the planner's records of runs, and takes runs for over that nobody has seen end.
 */
#pragma once

#include <optional>
#include <string_view>

#include "kernel/base/millis.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/**
 * Takes runs off their workers, so that their units may start again. A run that is given up ends
 * without having been listed as ended or barred; its unit waits for a write that is confirmed after
 * that, as another planner may have heard the end.
 */
class run_closer {
 public:
  run_closer(job_table& jobs, worker_pool& pool) : jobs_(jobs), pool_(pool) {}

  /** A new term, for the log. */
  void Begin(int64_t term) { term_ = term; }

  /** A run is over; nothing happens if it is not on the worker. */
  void Close(pool_worker& worker, const run_ref& run);

  /** Everything on a worker is over since a time. */
  void GiveUpAll(pool_worker& worker, std::string_view reason, millis over);

  /** What a former life had and this one, under its own fence, does not list is over. */
  void GiveUpFormerIncarnation(pool_worker& worker, const worker_report& report, millis now);

  /**
   * Gives up what is on workers whose lease ended before the term was last held for certain.
   * Returns a time of which a later confirmation is needed: of a lease that seems over, or of a run
   * that was given up.
   */
  std::optional<millis> GiveUpLapsed(millis now, millis confirmed);

  /** Runs that were given up, in this term. */
  int64_t given_up() const { return given_up_; }

  /** Rises with every run that is closed. */
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
