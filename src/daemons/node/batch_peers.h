/** \file
 * How processes for batch jobs find and know each other.
 */
#pragma once

#include <string>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/io/deployment.h"
#include "kernel/io/peer_hub.h"

namespace eelgrass {

/** Identity and listening address of a process; agents dial only. */
hub_options MakeBatchHubOptions(const deployment& place, peer_role role, const clock& time);

/** Where a process serves its metrics: the last port of the nodes' range. */
std::string MetricsAddress(const deployment& place);

/** Where the entries named in the deployment accept peers, without this process itself. */
std::vector<std::string> SeedAddresses(const deployment& place);

}  // namespace eelgrass
