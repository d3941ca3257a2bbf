/** \file
 * A plan: the units to start and to stop.
 */
#pragma once

#include <string>
#include <vector>

#include "kernel/batch/job_table.h"

namespace eelgrass {

/** A unit to start, with a worker for each of its members. */
struct unit_start {
  unit_ref unit;
  std::vector<std::string> workers;
  std::vector<std::string> tickets;  // one per worker; empty if not required
};

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
};

/** Units to start and to stop. A start may have to wait until the stopped runs have ended. */
struct start_plan {
  std::vector<unit_start> starts;
  std::vector<unit_ref> preempted;
  std::vector<unit_ref> moved;      // to stop, because a worker leaves before they can end
  std::vector<advice_wish> advice;  // in the order of the units
};

}  // namespace eelgrass
