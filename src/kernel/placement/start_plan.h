/** \file
 * A plan: the units to start and to stop.
 */
#pragma once

#include <string>
#include <vector>

#include "kernel/advice/advice_messages.h"
#include "kernel/batch/job_table.h"

namespace eelgrass {

/** A unit to start, with a worker for each of its members. */
struct unit_start {
  unit_ref unit;
  std::vector<std::string> workers;
  std::vector<std::string> tickets;  // one per worker; empty if not required
};

/** Units to start and to stop. A start may have to wait until the stopped runs have ended. */
struct start_plan {
  std::vector<unit_start> starts;
  std::vector<unit_ref> preempted;
  std::vector<unit_ref> moved;      // to stop, because a worker leaves before they can end
  std::vector<advice_wish> advice;  // in the order of the units
};

}  // namespace eelgrass
