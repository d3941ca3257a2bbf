/** \file
 * What an agent decides about one worker beside it.
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
 * Carries out the planner's orders at one life of a worker and reports what it lists. Its
 * lists only count once it has confirmed the planner's fence, so that no earlier planner's order
 * can still be carried out behind them. The lease of what runs is renewed within the planner's
 * grants only, on a clock that also counts while the VM is suspended.
 */
class worker_controller {
 public:
  explicit worker_controller(const worker_heartbeat& first, millis now);

  /** Takes a later report of this life. False when it is older than what is known. */
  bool On(const worker_heartbeat& heartbeat, millis now);
  void On(const hold_answer& answer, millis now);
  void On(const start_answer& answer, millis now);
  void On(const stop_answer& answer, millis now);
  void On(const pace_answer& answer);

  /** A new planner: its fence has to be confirmed before anything else. */
  void SetTerm(int64_t term, millis now);
  void On(const worker_order& order, millis now);

  /** The calls to make now. */
  void Tick(millis now, std::vector<worker_call>& calls);

  /** Whether the planner should hear of a change at once. */
  bool changed() const { return changed_; }

  /** The report to send; numbers it and remembers when it was sent. */
  worker_report Report(int64_t sequence, millis now);

  const worker_identity& self() const { return profile_.self; }
  const std::string& address() const { return profile_.address; }
  const std::string& service() const { return profile_.service; }

  /** This life is said to leave: it starts nothing until it has shown whether it is there. */
  void OnDeparture(millis now);

  /** Whether it was said to leave, and is certainly not there any more. */
  bool departed() const { return departed_; }

  /** When this life is known to have lived. */
  const liveness_proof& proof() const { return proof_; }

  /** Whether the latest hold was answered by another life. */
  bool other_incarnation_answers() const { return other_incarnation_answers_; }

  /** Has it asked again: its answer does not tell whether it is the latest life. */
  void RetryHold(millis now);

  /** Whether its last heartbeat is too old to go on asking for a life that has not answered. */
  bool heartbeat_expired(millis now) const;

  /** Whether the worker has been out of reach for so long that it can be forgotten. */
  bool expired(millis now) const;

 private:
  enum class start_phase { kWanted, kCalling, kUnanswered, kRefused };
  struct ordered_start {
    wanted_run run;
    start_phase phase = start_phase::kWanted;
    millis not_before{0};
    bool outcome_unknown = false;  // an unanswered call may still be carried out
  };
  enum class stop_phase { kWanted, kCalling, kAnswered };
  struct ordered_stop {
    stop_phase phase = stop_phase::kWanted;
    millis not_before{0};
    int64_t holds_before = 0;  // lists that began before the answer do not show its effect
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
  bool RefusalProvesEnd() const;
  void CheckDeparture(const hold_answer& answer, millis now);
  void DiscardLists(const hold_answer& answer);
  void ApplyLists(const hold_answer& answer, millis now);
  void CompleteStops();
  void UpdatePacing(millis now);
  void FillRunTimes(std::span<listed_run> runs, millis now);
  millis NextHold(millis now) const;
  void Refuse(const run_ref& run, start_refusal reason);
  void DropOmittedStarts(const worker_order& order);
  bool IsListed(const run_ref& run) const;
  int64_t DeadlineFor(millis now) const;
  void CallHold(millis now, std::vector<worker_call>& calls);
  void CallStarts(millis now, std::vector<worker_call>& calls);
  void CallStops(millis now, std::vector<worker_call>& calls);

  worker_profile profile_;
  liveness_proof proof_;
  departure_check departure_;
  bool departed_ = false;
  bool other_incarnation_answers_ = false;
  int64_t heartbeat_sequence_ = 0;
  int64_t worker_clock_ms_ = 0;  // worker's clock when last read
  millis clock_read_{0};
  int64_t term_ = 0;
  int64_t incarnation_ = 0;
  int64_t order_sequence_ = 0;
  int64_t confirmed_term_ = 0;  // under whose fence the lists were read
  int64_t confirmed_incarnation_ = 0;
  std::vector<listed_run> running_;
  std::map<run_ref, millis> running_since_;  // as far as reports have told of them
  std::vector<listed_end> ended_;
  std::map<run_ref, ordered_start> starts_;
  std::map<run_ref, int64_t> recent_starts_;  // answered starts, with the holds begun until then
  std::map<run_ref, ordered_stop> stops_;
  std::map<run_ref, start_refusal> refused_;
  std::map<run_ref, paced_run> pacing_;  // runs that take part in pacing
  pace_policy pace_;
  std::vector<pace_change> pace_changes_;  // to be carried out
  int64_t seen_upto_ = 0;
  millis lease_until_{0};
  int64_t lease_term_ = 0;  // under which the lease was last prolonged
  std::deque<sent_report> reports_;
  bool hold_pending_ = false;
  millis last_failure_{INT64_MIN / 4};  // when a call last was not answered or not sent
  bool refused_connection_ = false;     // nobody listens at the worker's address
  int64_t holds_begun_ = 0;
  int64_t hold_number_ = 0;  // of the hold under way
  millis hold_sent_{0};
  millis answered_hold_sent_{0};  // when the latest hold that was answered was sent
  std::string hold_address_;      // to which it was sent
  std::string answered_address_;  // where this life has answered last
  millis next_hold_{0};
  millis last_answer_{0};
  millis last_heartbeat_{0};
  bool changed_ = true;
};

}  // namespace eelgrass
