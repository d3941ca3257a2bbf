/** \file
 * Keeps the planner's view of runs in step with what workers list.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <vector>

#include "kernel/batch/incarnation_numbers.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/run_closer.h"
#include "kernel/batch/start_plan.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/batch/worker_speeds.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

struct tracker_options {
  millis grant{4000};  // lease that one report earns a worker
};

/**
 * Takes agents' reports, applies them to the book and the pool, and carries out plans there. A run
 * counts as over only when its worker lists its end, has certainly barred it, is another life, or
 * when its lease lapsed while this planner held the term.
 */
class run_tracker {
 public:
  run_tracker(tracker_options options, job_table& jobs, worker_pool& pool, worker_speeds& speeds);

  /** A new term: orders count anew, and run numbers are above those of all earlier terms. */
  void Begin(int64_t term);

  /**
   * Takes a report. The configuration gives the attempts that a queue allows. True when the report
   * was taken and has lists under this term.
   */
  bool On(std::string_view agent, const worker_report& report, const batch_config& config,
          millis now);
  void OnAgentDisconnected(std::string_view agent);

  /** A worker is gone for good: ends its runs and forgets it. */
  void Drop(std::string_view worker, std::string_view reason, millis now);

  /** Carries out a plan: places runs, stops what has to make room. */
  void Apply(const start_plan& plan, millis now);

  /** Stops every run of a unit. */
  void Stop(const unit_ref& unit, std::string_view reason, millis now);

  /**
   * Stops what runs for jobs that have ended, releases held runs, ends what has lapsed. The term
   * was certainly held at `confirmed`; after that another planner may prolong leases. Returns
   * a time of which a later confirmation is needed: of a lease that seems over, or a run given up.
   */
  std::optional<millis> Tick(millis now, millis confirmed);

  /**
   * Ends the jobs all of whose units are done, unless another run of one may still start. What is
   * stored as done and was not shown waits until the runs of earlier terms are known.
   */
  void CompleteJobs(bool recovered);

  /** Runs that were taken for over without a listed end or a bar, in this term. */
  int64_t given_up() const { return closer_.given_up(); }

  /** Rises whenever something may have become startable. */
  int64_t changes() const { return changes_ + closer_.changes(); }

 private:
  void BeginIncarnation(pool_worker& worker, const worker_report& report, std::string_view agent,
                        millis now);
  void ApplyEnds(pool_worker& worker, const worker_report& report, const batch_config& config,
                 millis now);
  void ApplyRunning(pool_worker& worker, const worker_report& report, millis now);
  void ApplyRefused(pool_worker& worker, const worker_report& report, millis now);
  void StopUnlisted(pool_worker& worker, const worker_report& report, millis now);
  bool Adopt(pool_worker& worker, const listed_run& listed, millis now);
  void ApplyEnd(pool_worker& worker, const listed_end& end, const batch_config& config, millis now);
  void LearnSpeed(const pool_worker& worker, const run_record& record, const batch_step& step,
                  millis now);
  void ReleaseHeld(millis now);
  bool HasOtherRuns(std::string_view job) const;
  void StopOverdue(millis now);
  int64_t NextRun();
  void RecordOutcome(pool_worker& worker, bool good, millis now);

  const tracker_options options_;
  job_table& jobs_;
  worker_pool& pool_;
  worker_speeds& speeds_;
  run_closer closer_;
  int64_t term_ = 0;
  int64_t runs_begun_ = 0;
  incarnation_numbers incarnations_;
  int64_t changes_ = 0;
};

}  // namespace eelgrass
