/** \file
 * Keeps the planner's records of runs consistent with the workers' reports.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "kernel/batch/incarnation_numbers.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/run_closer.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/learning/worker_speeds.h"
#include "kernel/model/batch_config.h"
#include "kernel/placement/start_plan.h"

namespace eelgrass {

class ticket_cache;

struct tracker_options {
  millis grant{4000};            // lease that a worker gets for one report
  bool announce_starts = false;  // a start is ordered only when it is known elsewhere
};

/**
 * Applies agents' reports and start plans to the job table and the worker pool. A run counts as
 * ended only when its worker lists its end, when the worker has certainly rejected it, when a new
 * incarnation of the worker does not list it, or when the worker's lease expired while this planner
 * held the term.
 */
class run_tracker {
 public:
  /** `tickets` is the cache from which held runs get their tickets renewed; it may be absent. */
  run_tracker(tracker_options options, job_table& jobs, worker_pool& pool, worker_speeds& speeds,
              ticket_cache* tickets = nullptr);

  /** Starts a term. Its run numbers are above those of all earlier terms. */
  void Begin(int64_t term);

  /**
   * Applies a report. The configuration gives the attempts that each queue allows. Returns whether
   * the report was accepted and contains lists made under this term.
   */
  bool On(std::string_view agent, const worker_report& report, const batch_config& config,
          millis now);
  void OnAgentDisconnected(std::string_view agent);

  /** Removes a worker that will not return, and gives up its runs. */
  void Drop(std::string_view worker, std::string_view reason, millis now);

  /** Applies a plan: places runs and stops those that are preempted or moved. */
  void Apply(const start_plan& plan, millis now);

  /** Stops every run of a unit. */
  void Stop(const unit_ref& unit, std::string_view reason, millis now);

  /**
   * Stops runs of ended jobs, orders held runs that now fit and gives up runs whose lease expired.
   * The term was certainly held at `confirmed`; after that another planner may have extended
   * leases. Returns a time after which the term has to be confirmed: the end of a lease that
   * appears to have expired, or the time of a run that was given up.
   */
  std::optional<millis> Tick(millis now, millis confirmed);

  /**
   * Completes the jobs all of whose units are done, unless another run of such a job is open. Jobs
   * of which a unit was already done in the store, or by a run that may have been replaced, wait
   * until the runs of earlier terms are known.
   */
  void CompleteJobs(bool recovered);

  /** Records that the effects of ends have been stored. */
  void OnEndsStored(std::span<const stored_ends> ends);

  /** The counted ends of runs since the last call, in their order. */
  std::vector<run_outcome> TakeOutcomes() { return std::exchange(outcomes_, {}); }

  /** Lets workers forget the stored ends of units of which no other run can start any more. */
  void ReleaseEnds(bool runs_known, millis now);

  /** Number of runs given up in this term, without a listed end or a rejection by the worker. */
  int64_t given_up() const { return closer_.given_up(); }

  /** A counter that increases whenever a unit may have become startable. */
  int64_t changes() const { return changes_ + closer_.changes(); }

 private:
  using held_members = std::vector<std::pair<pool_worker*, run_record*>>;

  void BeginIncarnation(pool_worker& worker, const worker_report& report, std::string_view agent,
                        millis now);
  void ApplyEnds(pool_worker& worker, const worker_report& report, const batch_config& config,
                 millis now);
  void NoteRunsAgain(const worker_report& report, millis now);
  void ApplyRunning(pool_worker& worker, const worker_report& report, millis now);
  void ApplyRefused(pool_worker& worker, const worker_report& report, millis now);
  void StopUnlisted(pool_worker& worker, const worker_report& report, millis now);
  bool Adopt(pool_worker& worker, const listed_run& listed, millis now);
  void ApplyEnd(pool_worker& worker, const listed_end& end, bool lapsed, const batch_config& config,
                millis now);
  bool MayRelease(const counted_end& end, bool runs_known, millis now) const;
  std::string OpenAt(const unit_ref& unit, millis now) const;
  void ObserveProgress(const pool_worker& worker, run_record& record, int64_t percent, millis at,
                       millis now);
  void LearnSpeed(const pool_worker& worker, const run_record& record, const batch_step& step,
                  millis now);
  bool InOneRack(std::span<const std::string> workers) const;
  void ReleaseHeld(millis now);
  bool RenewTickets(held_members& members, millis now) const;
  bool TicketLost(const pool_worker& worker, const run_record& record, millis now) const;
  bool HasOtherRuns(std::string_view job) const;
  void StopOverdue(millis now);
  int64_t NextRun();
  void RecordOutcome(pool_worker& worker, std::string_view job, bool success, millis now);

  const tracker_options options_;
  job_table& jobs_;
  worker_pool& pool_;
  worker_speeds& speeds_;
  ticket_cache* const tickets_;
  run_closer closer_;
  int64_t term_ = 0;
  int64_t runs_begun_ = 0;
  incarnation_numbers incarnations_;
  int64_t changes_ = 0;
  std::vector<run_outcome> outcomes_;
};

}  // namespace eelgrass
