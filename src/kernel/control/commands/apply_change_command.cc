#include "kernel/control/commands/apply_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void apply_change_command::Run(control_core& control, const command_origin& origin) {
  change_record change;
  if (!PrepareChange(control, origin, request_, change)) return;
  if (change.review_needed) {
    control.Refuse(origin, error_kind::kInvalid, "apply-change",
                   "changes require a review: book the change and have it reviewed");
    return;
  }
  ApplyAndReply(control, origin, std::move(change));
}

}  // namespace eelgrass
