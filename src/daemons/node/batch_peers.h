/** \file
 * Addresses and identities of the processes for batch jobs.
 */
#pragma once

#include <string>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/io/deployment.h"
#include "kernel/io/peer_hub.h"

namespace eelgrass {

/** Identity and listening address of a process. Agents only dial and do not listen. */
hub_options MakeBatchHubOptions(const deployment& place, peer_role role, const clock& time);

/** Address where a process serves its metrics: the last port of the nodes' port range. */
std::string MetricsAddress(const deployment& place);

/** Peer addresses of the entries named in the deployment, except this process. */
std::vector<std::string> SeedAddresses(const deployment& place);

}  // namespace eelgrass
