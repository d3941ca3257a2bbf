#include "kernel/control/commands/show_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void show_change_command::Run(control_core& control, const command_origin& origin) {
  const change_record* known = control.changes().Find(id_);
  if (known == nullptr) {
    control.Refuse(origin, error_kind::kNotFound, "show-change", "the change does not exist");
    return;
  }
  control.Answer(origin, change_detail{*known});
}

}  // namespace eelgrass
