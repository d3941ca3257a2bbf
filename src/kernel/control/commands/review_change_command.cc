#include "kernel/control/commands/review_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void review_change_command::Run(control_core& control, const command_origin& origin) {
  constexpr std::string_view kStep = "review-change";
  const change_record* known = control.changes().Find(id_);
  if (known == nullptr) {
    control.Refuse(origin, error_kind::kNotFound, kStep, "the change does not exist");
    return;
  }
  if (!origin.who.may_review || origin.who.name == known->author) {
    control.Refuse(origin, error_kind::kInvalid, kStep,
                   "the reviewer must have review permission and must not be the author");
    return;
  }
  if (known->state != change_state::kBooked) {
    control.Refuse(origin, error_kind::kConflict, kStep,
                   "the change is " + std::string(ChangeStateName(known->state)));
    return;
  }
  change_record next = *known;
  next.state = change_state::kReviewed;
  next.reviewer = origin.who.name;
  control.changes().Write(std::move(next));
  control.AnswerWhenWritten(origin, "changes/" + id_);
}

}  // namespace eelgrass
