#include "kernel/control/commands/show_job_command.h"

#include "kernel/control/control_core.h"
#include "kernel/control/job_visibility.h"

namespace eelgrass {

void show_job_command::Run(control_core& control, const command_origin& origin) {
  const job_row* row = FindVisibleJob(control.table(), origin.who, id_);
  if (row == nullptr) {
    control.Refuse(origin, error_kind::kNotFound, "show-job", "the job does not exist");
    return;
  }
  control.Answer(origin, job_detail{*row, control.planner().Explain(*row), false});
}

}  // namespace eelgrass
