#include "kernel/control/commands/list_upstreams_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_upstreams_command::Run(control_core& desk, const command_origin& origin) {
  desk.Answer(origin, upstream_list{desk.Upstreams()});
}

}  // namespace eelgrass
