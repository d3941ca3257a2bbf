/** \file
 * What the planner has decided to start and to stop.
 */
#pragma once

#include <string>
#include <vector>

#include "kernel/batch/job_table.h"

namespace eelgrass {

/** A unit that is to start, with a worker for each of its members. */
struct unit_start {
  unit_ref unit;
  std::vector<std::string> workers;
  std::vector<std::string> tickets;  // of each worker; empty where none are needed
};

/** What is to be done now. Starts may have to wait for the stops. */
struct start_plan {
  std::vector<unit_start> starts;
  std::vector<unit_ref> preempted;
  std::vector<unit_ref> moved;  // to be stopped, as a worker leaves before they can end
};

}  // namespace eelgrass
