/** \file
 * Placement tickets for queues whose policy allows only some workers to run a step.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/placement/planning_view.h"
#include "kernel/placement/start_plan.h"

namespace eelgrass {

/** Asks the advice service which of the given workers may run a step. */
struct advice_request {
  std::string step;  // ID.OCCURRENCE.STEP
  std::vector<std::string> workers;
  millis expected{0};  // expected duration of the call
};

/** The service's answer, or the failure to get one. */
struct advice_reply {
  std::string step;
  std::vector<std::string> asked;
  bool answered = false;
  std::vector<std::pair<std::string, std::string>> tickets;  // by worker
  millis valid{0};
};

/** Metrics of the tickets of one term. */
struct ticket_statistics {
  int64_t waiting = 0;       // steps that could start with more tickets
  millis longest_wait{0};    // of these, since they were ready or had their last turn
  int64_t unattainable = 0;  // waiting steps that cannot get their tickets, see ticket_cache
  int64_t failed_calls = 0;
};

/**
 * Caches the tickets of each step and requests missing ones, one call at a time.
 *
 * The tickets of a unit have to be valid at the same time. The calls are therefore given in turns:
 * a step keeps its turn until one of its units can start, but for a limited number of calls. Each
 * call names all workers of a possible placement whose tickets would expire before the answer, so
 * that it either completes the unit's tickets or shows that a worker of the placement is refused.
 * Every second turn goes to the step that has waited longest of those that could start. A step that
 * could start therefore waits for at most two turns of each other one.
 *
 * A unit cannot get its tickets if it needs more workers than one call may name and the first
 * tickets expire during the calls for the others, or if too few allowed workers are there. Such a
 * step takes no turns and is logged and counted.
 */
class ticket_cache {
 public:
  /** The worker's ticket for a unit's step; nullptr if there is no valid one. */
  const std::string* Ticket(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** Whether the service has not allowed the worker to run the unit's step. */
  bool Refused(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** Whether the service has allowed the worker to run the unit's step; the ticket may be old. */
  bool Allowed(const unit_ref& unit, const worker_identity& worker) const;

  /** Whether the calls are made for this unit at present. */
  bool HasTurn(const unit_ref& unit) const { return turn_ && turn_->unit == unit; }

  /** Whether so many workers can have valid tickets for a step at the same time. */
  static bool Attainable(size_t workers, const advice_policy& policy);

  /** Remaining expected time of the call that is under way; 0 if there is none. */
  millis AnswerIn(millis now) const;

  /** The next request for one of the steps that wait, if one is due. */
  std::optional<advice_request> Next(std::span<const advice_wish> wishes,
                                     const planning_view& view);
  void On(const advice_reply& reply, millis now);

  /** Forgets a ticket that the worker did not accept. */
  void Discard(const unit_ref& unit, std::string_view worker);
  void Reset();

  const ticket_statistics& stats() const { return stats_; }

 private:
  struct ticket {
    std::string text;  // empty: the worker may not run the step
    int64_t born_ms = 0;
    millis good_until{0};
  };
  struct advised_step {
    std::string job;
    std::map<std::string, ticket, std::less<>> tickets;  // by worker
    millis served{INT64_MIN / 4};                        // end of its last turn
    bool asked = false;                                  // a call has been made for it
  };
  struct step_turn {
    unit_ref unit;
    bool could_start = false;  // when the turn began
    int calls = 0;
    int most_calls = 1;
    millis since{0};
  };
  struct pending_call {
    std::string step;
    std::string queue;
    std::vector<std::string> workers;
    std::map<std::string, int64_t, std::less<>> born;  // start times of the workers
    millis sent{0};
    millis expected_end{0};
  };
  /** How many of the workers that were asked about for the first time were allowed. */
  struct policy_share {
    int64_t asked = 0;
    int64_t allowed = 0;
  };
  using step_key = std::string;

  /** The step's entry for this incarnation of the worker while it is valid; nullptr if none. */
  const ticket* Find(const unit_ref& unit, const worker_identity& worker, millis now) const;
  const advised_step* FindStep(const unit_ref& unit) const;
  millis WaitsSince(const advice_wish& wish) const;
  std::pair<int, millis> Rank(const advice_wish& wish) const;
  std::vector<const advice_wish*> Eligible(std::span<const advice_wish> wishes,
                                           const planning_view& view);
  const advice_wish* Choose(std::span<const advice_wish* const> wishes) const;
  const advice_wish* KeepTurn(std::span<const advice_wish* const> wishes, millis now);
  void EndTurn(std::string_view reason, millis now);
  std::vector<std::string> Expiring(const advice_wish& wish, const planning_view& view,
                                    millis until) const;
  size_t Spare(const advice_wish& wish, const batch_queue& queue,
               std::span<const std::string> named, const planning_view& view) const;
  std::vector<std::string> WorkersToName(const advice_wish& wish, const batch_queue& queue,
                                         const planning_view& view) const;

  std::map<step_key, advised_step> steps_;
  std::map<std::string, policy_share, std::less<>> shares_;  // by queue
  std::set<step_key> reported_;                              // unattainable steps that were logged
  std::optional<step_turn> turn_;
  std::optional<pending_call> pending_;
  int64_t turns_ = 0;
  millis next_{0};
  ticket_statistics stats_;
};

}  // namespace eelgrass
