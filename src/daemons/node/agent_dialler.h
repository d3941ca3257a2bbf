/** \file
 * Carries out what an agent's configuration asks of the transport.
 */
#pragma once

#include "kernel/config/agent_config.h"
#include "kernel/io/peer_hub.h"

namespace eelgrass {

/** Sends the messages and changes the connections that `config` has collected. */
void ApplyConfigActions(agent_config& config, peer_hub& hub);

}  // namespace eelgrass
