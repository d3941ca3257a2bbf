#include "kernel/control/commands/show_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void show_change_command::Run(control_core& desk, const command_origin& origin) {
  const change_record* known = desk.changes().Find(id_);
  if (known == nullptr) {
    desk.Refuse(origin, error_kind::kNotFound, "show-change", "there is no such change");
    return;
  }
  desk.Answer(origin, change_detail{*known});
}

}  // namespace eelgrass
