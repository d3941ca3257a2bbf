/** \file
 * Placement tickets for queues whose policy allows only some workers to run a step.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/batch/planning_view.h"

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
 * Caches the tickets of each step and requests missing ones, one call at a time, in order of the
 * open jobs' ids. Which workers may run a step does not change, so a worker's ticket is requested
 * again only after it has expired.
 */
class ticket_cache {
 public:
  /** The worker's ticket for a unit's step; nullptr if there is no valid one. */
  const std::string* Ticket(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** The next request, if one is due. */
  std::optional<advice_request> Next(const planning_view& view);
  void On(const advice_reply& reply, millis now);
  void Reset();

 private:
  struct ticket {
    std::string text;  // empty: the worker may not run the step
    int64_t born_ms = 0;
    millis good_until{0};
  };
  using step_key = std::string;

  bool HasValidEntry(const step_key& step, const worker_identity& worker, millis now) const;

  std::map<step_key, std::map<std::string, ticket, std::less<>>> tickets_;
  std::map<std::string, int64_t> asked_start_;  // start times of the workers in the pending request
  bool asking_ = false;
  millis next_{0};
};

}  // namespace eelgrass
