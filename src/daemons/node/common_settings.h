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

/** Settings of every process that connects to peers: id, domain, listening address, peer key. */
std::vector<setting_spec> PeerSettings();

/** Transport options with this process's identity. Its incarnation is its start (wall time). */
hub_options MakeHubOptions(const settings& values, peer_role role, const clock& time);

/** Prints to standard error why the program cannot start, and returns the exit code. */
int ReportStartFailure(const error& problem);

}  // namespace eelgrass
