/** \file
 * Placement tickets for queues whose policy allows only some workers to run a step.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/advice/advice_monitor.h"
#include "kernel/advice/advice_turns.h"
#include "kernel/advice/step_tickets.h"
#include "kernel/placement/planning_view.h"

namespace eelgrass {

/**
 * Has the tickets of each step and requests missing ones, one call at a time.
 *
 * The tickets of a unit have to be valid at the same time. Each call therefore names all workers of
 * a possible placement whose tickets would expire before the answer, so that it either completes
 * the unit's tickets or shows that a worker of the placement is refused. The last call of a turn
 * renews all of them, in case calls take longer than expected.
 *
 * A call is given as long as its policy states times the slowness of the service, which is known
 * from its last answer and at most eight. See advice_turns for the order of the steps, and
 * advice_monitor for those that cannot get their tickets.
 */
class ticket_cache {
 public:
  /** The worker's ticket for a unit's step; nullptr if there is no valid one. */
  const std::string* Ticket(const unit_ref& unit, const worker_identity& worker, millis now) const {
    return tickets_.Valid(unit, worker, now);
  }

  /** Whether the service has not allowed the worker to run the unit's step. */
  bool Refused(const unit_ref& unit, const worker_identity& worker, millis now) const {
    return tickets_.Refused(unit, worker, now);
  }

  /** Whether the service has allowed the worker to run the unit's step; the ticket may be old. */
  bool Allowed(const unit_ref& unit, const worker_identity& worker) const {
    return tickets_.Allowed(unit, worker);
  }

  /**
   * Whether room is to be held for this unit, since calls are made for it and the service answers.
   */
  bool AwaitsAnswer(const unit_ref& unit, millis now) const;

  /** Whether the service has answered one of the last two calls, and is not late with the next. */
  bool Answers(millis now) const;

  /** Remaining expected time of the call that is under way; 0 if there is none. */
  millis AnswerIn(millis now) const;

  /** The next request for one of the steps that wait, if one is due. */
  std::optional<advice_request> Next(std::span<const advice_wish> wishes,
                                     const planning_view& view);
  void On(const advice_reply& reply, millis now);

  /** Forgets a ticket that the worker did not accept. */
  void Discard(const unit_ref& unit, std::string_view worker) { tickets_.Discard(unit, worker); }

  /** Forgets the last term. */
  void Reset();

  const ticket_statistics& stats() const { return monitor_.stats(); }

 private:
  struct pending_call {
    unit_ref unit;
    std::string step;
    std::string queue;
    std::vector<std::string> workers;
    std::map<std::string, int64_t, std::less<>> born;  // start times of the workers
    millis sent{0};
    millis stated{0};  // duration by the policy
    millis expected_end{0};
  };
  /** How many of the workers that were asked about for the first time were allowed. */
  struct policy_share {
    int64_t asked = 0;
    int64_t allowed = 0;
  };

  millis ExpectedTime(const advice_policy& policy, size_t workers) const;
  void LearnDuration(const pending_call& call, bool answered, millis now);
  std::vector<std::string> Expiring(const advice_wish& wish, const planning_view& view,
                                    millis until) const;
  size_t Spare(const advice_wish& wish, const batch_queue& queue,
               std::span<const std::string> named, const planning_view& view) const;
  std::vector<std::string> WorkersToName(const advice_wish& wish, const batch_queue& queue,
                                         const planning_view& view) const;

  step_tickets tickets_;
  advice_turns turns_;
  advice_monitor monitor_;
  std::map<std::string, policy_share, std::less<>> shares_;  // by queue
  std::optional<pending_call> pending_;
  double slowness_ = 1;    // of the service: duration of its calls against the policy's figures
  int failed_in_row_ = 0;  // calls
  millis next_{0};
};

}  // namespace eelgrass
