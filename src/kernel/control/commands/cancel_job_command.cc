#include "kernel/control/commands/cancel_job_command.h"

#include "kernel/control/control_core.h"
#include "kernel/control/job_visibility.h"

namespace eelgrass {

void cancel_job_command::Run(control_core& desk, const command_origin& origin) {
  constexpr std::string_view kStep = "cancel-job";
  const job_row* row = FindVisibleJob(desk.table(), origin.who, id_);
  if (row == nullptr) {
    desk.Refuse(origin, error_kind::kNotFound, kStep, "there is no such job");
    return;
  }
  if (IsFinal(row->state) || row->cancel_wanted) {
    desk.Answer(origin, job_detail{*row, desk.planner().Explain(*row), false});
    return;
  }
  job_row next = *row;
  const auto live = desk.planner().live_rows().find(id_);
  if (live != desk.planner().live_rows().end()) next = live->second;
  next.cancel_wanted = true;
  desk.planner().RecordCancellation(next);
  desk.AnswerWhenWritten(origin, "jobs/" + id_);
}

}  // namespace eelgrass
