#include "kernel/control/commands/apply_change_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void apply_change_command::Run(control_core& desk, const command_origin& origin) {
  change_record change;
  if (!TakeChange(desk, origin, request_, change)) return;
  if (change.review_needed) {
    desk.Refuse(origin, error_kind::kInvalid, "apply-change",
                "changes need a review here: book it, and have it reviewed");
    return;
  }
  ApplyNow(desk, origin, std::move(change));
}

}  // namespace eelgrass
