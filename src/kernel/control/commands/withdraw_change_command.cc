#include "kernel/control/commands/withdraw_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void withdraw_change_command::Run(control_core& control, const command_origin& origin) {
  constexpr std::string_view kStep = "withdraw-change";
  const change_record* known = control.changes().Find(id_);
  if (known == nullptr) {
    control.Refuse(origin, error_kind::kNotFound, kStep, "the change does not exist");
    return;
  }
  if (known->state != change_state::kBooked && known->state != change_state::kReviewed) {
    control.Refuse(origin, error_kind::kConflict, kStep,
                   "the change is " + std::string(ChangeStateName(known->state)));
    return;
  }
  change_record next = *known;
  next.state = change_state::kWithdrawn;
  next.reason = "withdrawn by " + origin.who.name;
  control.changes().Write(std::move(next));
  control.AnswerWhenWritten(origin, "changes/" + id_);
}

}  // namespace eelgrass
