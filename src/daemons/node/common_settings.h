/** \file
 * Settings that several programs share.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/base/settings.h"
#include "kernel/io/peer_hub.h"

namespace eelgrass {

/** Settings of every process that talks to others: id, domain, peer key. */
std::vector<setting_spec> PeerSettings();

/** Who this process is, for the transport. The incarnation is the wall time of its start. */
hub_options MakeHubOptions(const settings& values, peer_role role, const clock& time);

/** Says on standard error why the program cannot start, and returns the exit code for it. */
int ReportStartFailure(const error& problem);

}  // namespace eelgrass
