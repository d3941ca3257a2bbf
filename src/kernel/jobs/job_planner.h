/** \file
 * Plans, starts, stops and completes jobs at an entry.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/cluster.h"
#include "kernel/jobs/failure_tracker.h"
#include "kernel/jobs/gang_monitor.h"
#include "kernel/jobs/guarantee_coverage.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/jobs/job_explainer.h"
#include "kernel/jobs/job_outcome_handler.h"
#include "kernel/jobs/job_scheduler.h"
#include "kernel/jobs/runtime_estimator.h"
#include "kernel/jobs/serving_workers.h"
#include "kernel/jobs/start_coordinator.h"
#include "kernel/jobs/submission_rules.h"
#include "kernel/model/duty_events.h"
#include "kernel/model/link_events.h"
#include "kernel/records/record_table.h"

namespace eelgrass {

/** Counters of the planner since its start. */
struct planner_stats {
  int64_t starts = 0;
  int64_t aborted_starts = 0;
  int64_t evictions = 0;
  int64_t requeued = 0;
  int64_t demoted = 0;  // jobs that became borrowers because their guarantee no longer backs them
  int waiting = 0;
  int active = 0;
  int suspended_guarantees = 0;
  millis last_plan{0};
};

/**
 * Tracks the job rows and the agents' reports and, while its entry is the leader, starts and stops
 * jobs and records their outcomes. Every start is claimed by a conditional write of the job's row
 * with an incremented epoch before any message about it is sent to an agent. After the commit, the
 * gang's anchor decides.
 */
class job_planner {
 public:
  job_planner(std::unique_ptr<queue_policy> ordering, std::unique_ptr<placement_policy> placement,
              record_table& table);

  void On(const document_changed& event);
  void On(const peer_up& event, millis now);
  void On(const peer_down& event, millis now);
  void On(const peer_said& event, millis now, millis wall_now);
  void On(const table_event& event);

  /** Current time, and whether this entry may plan. */
  struct planner_status {
    millis now;
    millis wall_now;
    bool leading = false;  // this entry is the planning leader
    bool fresh = false;    // the document in force is known to be the latest version
  };

  /** Runs the work that is due and appends the messages to send to `messages`. */
  void Tick(const planner_status& state, std::vector<send_to_peer>& messages);

  /** Writes a row whose cancellation was requested by an operator or the owner at this entry. */
  void RecordCancellation(job_row row) { UpdateRow(std::move(row), write_rank::kBulk); }

  /** Fails with the reason if the job can never run. */
  result<void> CheckSubmission(const job_spec& spec) const { return submission_.Check(spec); }

  job_explanation Explain(const job_row& row) const {
    return explainer_.Explain(row, starts_.Contains(row.id));
  }

  const cluster& machines() const { return machines_; }
  const guarantee_ledger& ledger() const { return coverage_.ledger(); }
  const failure_tracker& failures() const { return failures_; }
  const std::map<std::string, job_row, std::less<>>& live_rows() const { return rows_; }
  planner_stats stats() const;

 private:
  /** Queries all active gangs of a restarted anchor at once. */
  void QueryGangsOf(std::string_view anchor, millis now);
  void OnReport(std::string_view agent, const gang_report& report);
  void OnGangRejected(const job_row& row, std::string_view agent);
  void OnReserveAnswer(std::string_view agent, const reserve_answer& answer);
  void OnUsage(std::string_view agent, const worker_usage& usage);
  void Sync(const job_row& row);

  void UpdateRow(job_row row, write_rank rank);
  void Requeue(const job_row& row, std::string_view reason);
  void EndWithUnknownOutcome(const job_row& row, std::string_view reason);
  job_outcome_handler::job_context ContextOf(const job_row& row) const;
  void CancelWaiting();
  void StopUnwanted();
  void StopIfDomainOut(const job_row& row);
  void WatchActive();
  void UpdateLedger();
  void DemoteUncovered();
  void PromoteCovered();
  void SetBorrowing(const job_row& row, bool borrowing);
  void Plan();
  void Begin(start_decision decision);
  void AdvanceStarts();
  void Claim(const std::string& job);
  void Abort(const std::string& job, std::string_view reason);
  std::vector<const job_row*> Waiting() const;
  std::vector<const job_row*> Active() const;
  const job_class* ClassOf(const job_row& row) const;
  void Send(std::string_view peer, peer_message message);

  record_table& table_;
  job_scheduler scheduler_;
  std::shared_ptr<const document> document_;
  submission_rules submission_;
  cluster machines_;
  guarantee_coverage coverage_;
  runtime_estimator estimator_;
  failure_tracker failures_;
  job_outcome_handler outcome_handler_;
  serving_workers serving_;
  std::vector<send_to_peer> outbox_;
  gang_monitor gang_monitor_;
  std::map<std::string, job_row, std::less<>> rows_;  // not final; with unstored writes
  job_explainer explainer_;
  start_coordinator starts_;
  std::map<std::string, gang_id, std::less<>> unacknowledged_;  // to acknowledge when stored
  std::map<std::string, std::string, std::less<>> final_reporters_;
  planner_status state_;
  bool was_leading_ = false;
  bool plan_due_ = true;
  bool ledger_due_ = true;
  millis next_plan_{0};
  millis next_ledger_{0};
  planner_stats stats_;
};

}  // namespace eelgrass
