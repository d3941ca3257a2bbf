#include "kernel/control/commands/show_everywhere_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void show_everywhere_command::Run(control_core& desk, const command_origin& origin) {
  everywhere_detail detail;
  detail.version = desk.keeper().version();
  for (const auto& entry : desk.directory().Live(desk.now())) {
    detail.processes.push_back({entry.id, "entry", entry.version, 0});
  }
  for (const auto& peer : desk.keeper().peers()) {
    const bool worker = peer.role == peer_role::kWorkerAgent;
    detail.processes.push_back({peer.peer, worker ? "worker-agent" : "upstream-agent", peer.version,
                                (desk.now() - peer.heard).count()});
  }
  desk.Answer(origin, std::move(detail));
}

}  // namespace eelgrass
