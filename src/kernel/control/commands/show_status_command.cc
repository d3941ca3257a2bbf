#include "kernel/control/commands/show_status_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void show_status_command::Run(control_core& desk, const command_origin& origin) {
  desk.Answer(origin, desk.Status());
}

}  // namespace eelgrass
