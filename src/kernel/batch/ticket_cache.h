/** \file
 * Placement tickets for queues whose policy allows only some workers to run a step.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
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

/**
 * Caches the tickets of each step and requests missing ones, one call at a time. Steps that could
 * start come before those that wait for room, and each in turn, so that no step takes up the calls
 * for itself. Which workers may run a step does not change, so a worker's ticket is requested again
 * only after it has expired.
 */
class ticket_cache {
 public:
  /** The worker's ticket for a unit's step; nullptr if there is no valid one. */
  const std::string* Ticket(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** Whether the service has not allowed the worker to run the unit's step. */
  bool Refused(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** The next request for one of the steps that wait, if one is due. */
  std::optional<advice_request> Next(std::span<const advice_wish> wishes,
                                     const planning_view& view);
  void On(const advice_reply& reply, millis now);
  void Reset();

 private:
  struct ticket {
    std::string text;  // empty: the worker may not run the step
    int64_t born_ms = 0;
    millis good_until{0};
  };
  struct advised_step {
    std::map<std::string, ticket, std::less<>> tickets;  // by worker
    millis asked{INT64_MIN / 4};
  };
  using step_key = std::string;

  /** The step's entry for this incarnation of the worker while it is valid; nullptr if none. */
  const ticket* Find(const unit_ref& unit, const worker_identity& worker, millis now) const;
  std::pair<int, millis> TurnOf(const advice_wish& wish) const;

  std::map<step_key, advised_step> steps_;
  std::map<std::string, int64_t> asked_start_;  // start times of the workers in the pending request
  bool asking_ = false;
  millis next_{0};
};

}  // namespace eelgrass
