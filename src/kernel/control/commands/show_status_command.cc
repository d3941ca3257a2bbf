#include "kernel/control/commands/show_status_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void show_status_command::Run(control_core& control, const command_origin& origin) {
  control.Answer(origin, control.Status());
}

}  // namespace eelgrass
