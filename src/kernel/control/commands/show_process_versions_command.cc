#include "kernel/control/commands/show_process_versions_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void show_process_versions_command::Run(control_core& control, const command_origin& origin) {
  process_version_list detail;
  detail.version = control.keeper().version();
  for (const auto& entry : control.directory().Live(control.now())) {
    detail.processes.push_back({entry.id, "entry", entry.version, 0});
  }
  for (const auto& peer : control.keeper().peers()) {
    const bool worker = peer.role == peer_role::kWorkerAgent;
    detail.processes.push_back({peer.peer, worker ? "worker-agent" : "upstream-agent", peer.version,
                                (control.now() - peer.heard).count()});
  }
  control.Answer(origin, std::move(detail));
}

}  // namespace eelgrass
