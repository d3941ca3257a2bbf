/** \file
 * The batch planner of an entry: its decisions while it holds the term, and while another entry
 * does.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "kernel/advice/ticket_cache.h"
#include "kernel/batch/lost_worker_detector.h"
#include "kernel/batch/order_writer.h"
#include "kernel/batch/planner_journal.h"
#include "kernel/batch/run_tracker.h"
#include "kernel/batch/start_notices.h"
#include "kernel/batch/term_election.h"
#include "kernel/learning/speed_archive.h"
#include "kernel/model/link_events.h"
#include "kernel/placement/start_planner.h"
#include "kernel/sharing/load_forecaster.h"
#include "kernel/sharing/usage_ledger.h"
#include "kernel/stragglers/straggler_control.h"

namespace eelgrass {

/** A message from the gateway in the same process: a caller's inquiry or a newly accepted job. */
struct local_gateway_message {
  std::variant<job_inquiry, job_accepted> message;
};

/** The operators' configuration and orders, as last read by this entry. */
struct operator_state_update {
  operator_state state;
  millis confirmed{0};  // time up to which the state is known to be current
};

/** Requests that the term be handed over because the process is shutting down. */
struct planner_drain {};

using planner_event =
    std::variant<store_reply, peer_up, peer_down, peer_refused, peer_said, local_gateway_message,
                 operator_state_update, planner_drain, advice_reply, vm_listing>;

/** A message to the gateway in the same process. */
struct send_to_gateway {
  std::variant<job_reply, planner_notice, load_forecast> message;
};

using planner_action =
    std::variant<store_request, send_to_peer, send_to_gateway, advice_request, vm_listing_request>;

struct planner_options {
  std::string node;          // id of this entry
  std::string nonce;         // different for each start of the process
  std::string domain;        // failure domain of this entry; empty: not known
  std::string peer_address;  // address at which agents reach this entry
  double processor = 0;      // of this entry, see term_candidate
  tracker_options tracking;
  straggler_bounds stragglers;
  millis early{250};  // how long before its due time an occurrence may start
  size_t row_bytes = kDefaultRowBytes;
};

/** The planner's metrics. Gauges are zero while another entry is the planner. */
struct planner_statistics {
  bool planning = false;
  int64_t term = 0;
  int64_t open_jobs = 0;
  int64_t waiting_jobs = 0;  // open jobs of which no task has begun
  int64_t workers = 0;
  int64_t runs = 0;                 // held, ordered, running or stopping
  int64_t runs_given_up = 0;        // by this process: considered ended without a reported end
  int64_t stalled_units_moved = 0;  // by this process
  int64_t worker_quarantines = 0;   // by this process
  int64_t quarantined_workers = 0;
  int64_t open_starts = 0;   // that workers may still carry out, as far as this entry knows
  int64_t known_speeds = 0;  // VMs
  int64_t greatest_slowdown_percent = 0;
  int64_t ignored_speed_rows = 0;  // by this process
  ticket_statistics tickets;
  int64_t crowding = 0;  // organisations that exceed their fair share while others wait
};

/**
 * Coordinates the parts of the planner. While another entry holds the term, it only monitors the
 * term. After a takeover it loads the stored state and raises the fence at every agent. It starts
 * no job that was accepted in an earlier term until every worker that may have runs has reported
 * under the new fence or its lease has certainly expired.
 */
class planner_core {
 public:
  planner_core(planner_options options, const batch_record_codec& codec, const unit_order& order);

  void Decide(std::span<planner_event> events, millis now, millis wall_now,
              std::vector<planner_action>& actions);

  /** Whether the process may exit: the term is not held, or has been handed over. */
  bool handed_over() const { return !term_.holding() || journal_.handed_over(); }

  bool planning() const { return planning_; }
  planner_statistics stats(millis now) const;
  const job_table& jobs() const { return *jobs_; }
  const worker_pool& pool() const { return pool_; }

 private:
  /** A cancellation of a job that this planner does not know, and may not know yet. */
  struct unknown_cancel {
    job_inquiry inquiry;
    millis asked{0};
  };

  void On(store_reply& event, millis now);
  void On(peer_up& event, millis now);
  void On(peer_down& event, millis now);
  void On(peer_refused& event, millis now);
  void On(peer_said& event, millis now);
  void On(advice_reply& event, millis now);
  void On(vm_listing& event, millis now);
  void On(local_gateway_message& event, millis now);
  void On(operator_state_update& event, millis now);
  void On(planner_drain& event, millis now);

  void ResetTermState();
  void BeginTerm(millis now);
  void EndTerm(millis now);
  void ApplyReport(const std::string& agent, worker_report& report, millis now);
  void AnswerInquiry(const std::string& asker, const job_inquiry& inquiry, millis now);
  void SettleUnknownCancels(millis now);
  void ForgetInquiries(const std::string& asker);
  void Forget(std::span<const std::string> workers, std::string_view reason, millis now);
  void Reply(const std::string& asker, const job_reply& reply);
  void ApplyCommit();
  void OnAccepted(const job_accepted& accepted_job, millis now);
  bool EnsureConfirmedAfter(millis past);
  bool EarlierLeasesExpired(millis now);
  bool RunsKnown(millis now);
  bool Recovered(millis now);
  void Plan(millis now, millis wall_now);
  void Publish(load_forecast forecast);
  void Notify(millis now);
  void RepeatNotice(const planner_notice& notice, millis now);
  void OnPlannerNotice(const planner_notice& notice, millis now);
  void LogOpenStarts(millis now) const;
  void SendOpenStarts(const std::string& entry, millis now);
  void OnOpenStarts(const std::string& peer, const open_starts_notice& notice, millis now);
  planner_notice Notice(millis now) const;
  int64_t CountWaiting(std::string_view queue) const;

  const planner_options options_;
  term_election term_;
  std::unique_ptr<job_table> jobs_;
  worker_pool pool_;
  worker_speeds speeds_;  // kept across terms: speeds do not depend on the planner
  speed_archive speed_archive_;
  usage_ledger usage_;  // of the services by organisation, in this term
  planner_journal journal_;
  lost_worker_detector lost_;
  std::unique_ptr<run_tracker> tracker_;
  std::unique_ptr<order_writer> orders_;
  start_planner starts_;
  straggler_control stragglers_;
  load_forecaster forecaster_;
  start_notices start_notices_;
  operator_state operators_;
  millis operators_confirmed_{INT64_MIN / 4};
  std::vector<planner_action>* out_ = nullptr;
  bool was_holding_ = false;
  bool runs_known_ = false;  // no run of an earlier term can be open that is not known
  bool planning_ = false;    // recovery from earlier terms is complete
  millis term_start_{0};
  millis last_forgotten_{INT64_MIN / 4};   // when a stored worker was last removed without a report
  int64_t given_up_in_earlier_terms_ = 0;  // number of runs, in this process
  std::map<std::string, std::string> entries_;               // connected entries: address by id
  std::map<std::string, std::string> disconnected_entries_;  // address by id
  ticket_cache tickets_;
  std::set<std::string> agents_;  // connected agents
  std::map<std::pair<std::string, std::string>, worker_report> pending_reports_;
  std::map<std::string, std::vector<std::pair<std::string, int64_t>>> cancels_;  // inquiries by job
  std::map<std::pair<std::string, int64_t>, unknown_cancel> unknown_cancels_;    // by asker and id
  planner_notice sent_notice_;
  millis next_repeat_{0};
  std::map<std::string, millis, std::less<>> reported_;  // last report by agent, in this term
  planner_notice received_notice_;                       // latest one from another planner
  int64_t last_planned_change_ = -1;
  millis next_plan_{0};
};

}  // namespace eelgrass
