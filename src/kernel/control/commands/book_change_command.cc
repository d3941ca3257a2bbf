#include "kernel/control/commands/book_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void book_change_command::Run(control_core& desk, const command_origin& origin) {
  change_record change;
  if (!TakeChange(desk, origin, request_, change)) return;
  if (change.base != desk.keeper().version()) {
    desk.Refuse(origin, error_kind::kConflict, "book-change",
                "the document is based on version " + std::to_string(change.base) +
                    ", in force is " + std::to_string(desk.keeper().version()));
    return;
  }
  const std::string key = "changes/" + change.id;
  desk.changes().Write(std::move(change));
  desk.AnswerWhenWritten(origin, key);
}

}  // namespace eelgrass
