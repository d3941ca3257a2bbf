/** \file
 * Tickets for queues whose policy lets only some workers run a step.
 */
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/batch/planning_view.h"

namespace eelgrass {

/** Asks which of some workers may run a step. */
struct advice_request {
  std::string step;  // ID.OCCURRENCE.STEP
  std::vector<std::string> workers;
  millis expected{0};  // how long the service is likely to take
};

/** The service's answer, or that there was none. */
struct advice_reply {
  std::string step;
  std::vector<std::string> asked;
  bool answered = false;
  std::vector<std::pair<std::string, std::string>> tickets;  // by worker
  millis valid{0};
};

/**
 * Keeps the tickets of each step and asks for those that are missing, one call at a time, the most
 * pressing step first. Which workers may run a step does not change, so that each worker is asked
 * for once as long as its ticket lasts.
 */
class ticket_cache {
 public:
  /** The ticket of a worker for a unit's step; nullptr when there is none that is still good. */
  const std::string* Ticket(const unit_ref& unit, const worker_identity& worker, millis now) const;

  /** The call to make now, if any. */
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
  std::map<std::string, int64_t> asked_start_;  // lives of the workers that were asked for
  bool asking_ = false;
  millis next_{0};
};

}  // namespace eelgrass
