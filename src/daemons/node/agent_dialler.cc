#include "daemons/node/agent_dialler.h"

namespace eelgrass {

void ApplyConfigActions(agent_config& config, peer_hub& hub) {
  for (const auto& message : config.messages()) hub.Send(message.peer, message.message);
  for (const auto& address : config.to_dial()) hub.Dial(address);
  for (const auto& address : config.to_undial()) hub.Undial(address);
  config.messages().clear();
  config.to_dial().clear();
  config.to_undial().clear();
}

}  // namespace eelgrass
