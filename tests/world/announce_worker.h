/** \file
 * Makes a worker known to a planner's table without a connection.
 */
#pragma once

#include "kernel/jobs/cluster.h"

namespace eelgrass {

/** The worker connects and offers what it has. */
void AnnounceWorker(cluster& machines, const ledger_worker& worker);

}  // namespace eelgrass
