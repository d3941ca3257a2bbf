/** \file
 * Executes the actions that an agent's configuration requests of the transport.
 */
#pragma once

#include "kernel/config/agent_config.h"
#include "kernel/io/peer_hub.h"

namespace eelgrass {

/** Sends the messages and makes the connection changes queued in `config`, and clears them. */
void ApplyConfigActions(agent_config& config, peer_hub& hub);

}  // namespace eelgrass
