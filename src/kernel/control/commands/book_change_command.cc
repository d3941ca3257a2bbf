#include "kernel/control/commands/book_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void book_change_command::Run(control_core& control, const command_origin& origin) {
  change_record change;
  if (!PrepareChange(control, origin, request_, change)) return;
  if (change.base != control.keeper().version()) {
    control.Refuse(origin, error_kind::kConflict, "book-change",
                   "the document is based on version " + std::to_string(change.base) +
                       ", but the version in force is " +
                       std::to_string(control.keeper().version()));
    return;
  }
  const std::string key = "changes/" + change.id;
  control.changes().Write(std::move(change));
  control.AnswerWhenWritten(origin, key);
}

}  // namespace eelgrass
