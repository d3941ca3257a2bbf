#include "kernel/control/commands/list_upstreams_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_upstreams_command::Run(control_core& control, const command_origin& origin) {
  control.Answer(origin, upstream_list{control.Upstreams()});
}

}  // namespace eelgrass
