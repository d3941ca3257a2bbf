/** \file
 * What steps need of the advice service, and the calls to it.
 */
#pragma once

#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "kernel/batch/job_table.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

/** A step that waits and may need tickets. */
struct advice_wish {
  unit_ref unit;              // the first of its units that waits
  bool holds_room = false;    // placed; its tickets expired before it could be ordered
  bool has_room = false;      // could start now if the workers may run it
  bool may_preempt = false;   // is allowed to make room
  bool insufficient = false;  // the workers that are not refused could not hold it if empty
  millis ready_since{0};
  /** Workers that could run the unit now, or after preemption; all need valid tickets at once. */
  std::vector<std::string> place;
  std::vector<std::string> workers;  // without a ticket, best first

  bool CouldStart() const { return !place.empty(); }
};

/** Identifies a step: job, occurrence and number. */
using step_key = std::tuple<std::string, int, int>;

inline auto StepKey(const unit_ref& unit) { return std::tie(unit.job, unit.occurrence, unit.step); }

/** The step's name in calls: ID.OCCURRENCE.STEP. */
std::string StepName(const unit_ref& unit);

/** Asks the advice service which of the given workers may run a step. */
struct advice_request {
  std::string step;  // see StepName
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

/** Maximum workers per call, by the interface of the service. */
inline constexpr size_t kMaxWorkersPerCall = 100;

/** The number of calls that it takes to name so many workers. */
size_t CallsFor(size_t workers);

/** Duration of all these calls, as the queue's policy states it. */
millis CallTime(const advice_policy& policy, size_t workers);

/** For how long a ticket is used after its answer. */
millis UsableTime(millis valid);

/** Whether so many workers can have valid tickets for a step at the same time. */
bool TicketsAttainable(const advice_policy& policy, size_t workers);

}  // namespace eelgrass
