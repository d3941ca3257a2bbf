#include "kernel/control/commands/cancel_job_command.h"

#include "kernel/control/control_core.h"
#include "kernel/control/job_visibility.h"

namespace eelgrass {

void cancel_job_command::Run(control_core& control, const command_origin& origin) {
  constexpr std::string_view kStep = "cancel-job";
  const job_row* row = FindVisibleJob(control.table(), origin.who, id_);
  if (row == nullptr) {
    control.Refuse(origin, error_kind::kNotFound, kStep, "the job does not exist");
    return;
  }
  if (IsFinal(row->state) || row->cancel_wanted) {
    control.Answer(origin, job_detail{*row, control.planner().Explain(*row), false});
    return;
  }
  job_row next = *row;
  const auto live = control.planner().live_rows().find(id_);
  if (live != control.planner().live_rows().end()) next = live->second;
  next.cancel_wanted = true;
  control.planner().RecordCancellation(next);
  control.AnswerWhenWritten(origin, "jobs/" + id_);
}

}  // namespace eelgrass
