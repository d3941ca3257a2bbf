#include "kernel/control/commands/list_changes_command.h"

#include <algorithm>
#include <tuple>

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_changes_command::Run(control_core& control, const command_origin& origin) {
  change_list list{control.changes().All()};
  std::sort(list.changes.begin(), list.changes.end(), [](const auto& a, const auto& b) {
    return std::tie(a.due_ms, a.id) < std::tie(b.due_ms, b.id);
  });
  control.Answer(origin, std::move(list));
}

}  // namespace eelgrass
