/** \file
 * The agent's decisions about one worker on its VM.
 */
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "kernel/batch/departure_check.h"
#include "kernel/batch/liveness_proof.h"
#include "kernel/batch/pace_policy.h"
#include "kernel/batch/worker_calls.h"

namespace eelgrass {

using worker_call = std::variant<hold_call, start_call, stop_call, pace_call>;

/**
 * Sends the planner's orders to one incarnation of a worker and reports the runs that it lists. The
 * lists are valid only after the worker has confirmed the planner's fence; after that it accepts no
 * order of an earlier planner. The lease of the runs is renewed only within the planner's grants,
 * by a clock that also advances while the VM is suspended.
 */
class worker_controller {
 public:
  /**
   * Until `earlier_calls_until` the worker may carry out starts that a former process of the agent
   * has sent.
   */
  worker_controller(const worker_heartbeat& first, millis now,
                    millis earlier_calls_until = millis(0));

  /** Applies a heartbeat of this incarnation. Returns false if a later one was applied before. */
  bool On(const worker_heartbeat& heartbeat, millis now);
  void On(const hold_answer& answer, millis now);
  void On(const start_answer& answer, millis now);
  void On(const stop_answer& answer, millis now);
  void On(const pace_answer& answer);

  /** Follows a new planner. The worker has to confirm its fence before any other call. */
  void SetTerm(int64_t term, millis now);

  /**
   * Numbers this incarnation within the term. The worker then has to confirm a higher fence, under
   * which it rejects calls that were sent with a lower number.
   */
  void RaiseIncarnation(int64_t number, millis now);
  int64_t incarnation() const { return incarnation_; }

  void On(const worker_order& order, millis now);

  /** Appends the calls that are due. */
  void Tick(millis now, std::vector<worker_call>& calls);

  /** Whether a change has to be reported to the planner without waiting for the interval. */
  bool changed() const { return changed_; }

  /** Returns the report to send. Its number and send time are kept to match later grants. */
  worker_report Report(int64_t sequence, millis now);

  const worker_profile& profile() const { return profile_; }
  const worker_identity& self() const { return profile_.self; }
  const std::string& address() const { return profile_.address; }
  const std::string& service() const { return profile_.service; }

  /** Handles a reported departure: starts nothing until holds show whether it has ended. */
  void OnDeparture(millis now);

  /** Whether a departure was reported and the incarnation has certainly ended. */
  bool departed() const { return departed_; }

  /** The latest proof that this incarnation was alive. */
  const liveness_proof& proof() const { return proof_; }

  /** Whether another incarnation answered the latest hold. */
  bool other_incarnation_answers() const { return other_incarnation_answers_; }

  /** Repeats the hold, as its answer does not show whether this is the latest incarnation. */
  void RetryHold(millis now);

  /** Whether the last heartbeat is too old to keep calling a candidate without an answer. */
  bool heartbeat_expired(millis now) const;

  /** Whether the worker has been unreachable for long enough to be removed. */
  bool expired(millis now) const;

 private:
  enum class start_phase { kWanted, kCalling, kUnanswered, kRefused };
  struct ordered_start {
    wanted_run run;
    start_phase phase = start_phase::kWanted;
    millis not_before{0};
    bool outcome_unknown = false;  // an unanswered call may still take effect
    bool sent_before = false;      // so may one of a former process of the agent

    bool may_take_effect() const { return outcome_unknown || sent_before; }
  };
  enum class stop_phase { kWanted, kCalling, kAnswered };
  struct ordered_stop {
    stop_phase phase = stop_phase::kWanted;
    millis not_before{0};
    int64_t holds_before = 0;  // lists of holds up to this number do not show the stop's effect
  };
  struct sent_report {
    int64_t sequence = 0;
    millis at{0};
  };

  int64_t fence() const { return FenceOf(term_, incarnation_); }
  bool confirmed() const {
    return confirmed_term_ == term_ && confirmed_incarnation_ == incarnation_;
  }
  void RestartHold(millis at);
  /** Whether a hold that was sent after the latest failed call has been answered. */
  bool answered_since_failure() const { return answered_hold_sent_ >= last_failure_; }
  bool RefusalProvesEnd(millis now) const;
  void CheckDeparture(const hold_answer& answer, millis now);
  void DiscardLists(const hold_answer& answer);
  void ApplyLists(const hold_answer& answer, millis now);
  void CompleteStops();
  void CheckLease(millis now);
  void NoteLapse();
  void UpdatePacing(millis now);
  void FillRunTimes(std::span<listed_run> runs, millis now);
  millis NextHold(millis now) const;
  void Bar(const run_ref& run, ordered_start& start);
  void Refuse(const run_ref& run, start_refusal reason);
  void DropOmittedStarts(const worker_order& order);
  bool IsListed(const run_ref& run) const;
  int64_t DeadlineFor(millis now) const;
  int64_t Acknowledged() const;
  void CallHold(millis now, std::vector<worker_call>& calls);
  void CallStarts(millis now, std::vector<worker_call>& calls);
  void CallStops(millis now, std::vector<worker_call>& calls);

  worker_profile profile_;
  millis earlier_calls_until_;
  millis began_;
  liveness_proof proof_;
  departure_check departure_;
  bool departed_ = false;
  bool other_incarnation_answers_ = false;
  int64_t heartbeat_sequence_ = 0;
  int64_t worker_clock_ms_ = 0;  // last known time of the worker's clock; 0: not known
  millis clock_read_{0};
  int64_t term_ = 0;
  int64_t incarnation_ = 0;
  int64_t order_sequence_ = 0;
  int64_t confirmed_term_ = 0;  // of the fence under which the lists were read; 0: invalid lists
  int64_t confirmed_incarnation_ = 0;
  std::vector<listed_run> running_;
  std::map<run_ref, millis> running_since_;  // time of the first report that lists the run
  std::vector<listed_end> ended_;
  bool more_ends_ = false;  // runs that are in neither list may have ended
  std::map<run_ref, ordered_start> starts_;
  std::map<run_ref, int64_t> recent_starts_;  // holds sent before the start was answered
  std::map<run_ref, ordered_stop> stops_;
  std::map<run_ref, start_refusal> refused_;
  std::map<run_ref, paced_run> pacing_;  // runs that are paced or cause pacing
  pace_policy pace_;
  std::vector<pace_change> pace_changes_;  // still to be sent
  int64_t seen_upto_ = 0;
  int64_t first_listed_end_ = 0;  // by the latest hold, if it was answered; 0: none
  millis lease_until_{0};
  int64_t lease_term_ = 0;    // under which the lease was last extended
  bool lease_lapsed_ = true;  // since the latest lists, or none was granted before them
  int64_t lapsed_upto_ = 0;   // last end that was listed before a lapse, or first after it
  std::deque<sent_report> reports_;
  bool hold_pending_ = false;
  millis last_failure_{INT64_MIN / 4};  // time of the last call without an answer or not delivered
  bool refused_connection_ = false;     // the worker's address refuses connections
  int64_t holds_begun_ = 0;
  int64_t hold_number_ = 0;  // of the pending hold
  millis hold_sent_{0};
  millis answered_hold_sent_{0};  // send time of the latest answered hold
  std::string hold_address_;      // of the latest hold
  std::string answered_address_;  // at which this incarnation last answered
  millis next_hold_{0};
  millis last_answer_{0};
  millis last_heartbeat_{0};
  bool changed_ = true;
};

}  // namespace eelgrass
