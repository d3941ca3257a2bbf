#include "kernel/control/commands/submit_job_command.h"

#include "kernel/base/digest.h"
#include "kernel/control/control_core.h"

namespace eelgrass {

void submit_job_command::Run(control_core& control, const command_origin& origin) {
  constexpr std::string_view kStep = "submit-job";
  job_spec spec = spec_;
  if (!origin.who.is_operator()) spec.organisation = origin.who.name;
  if (control.keeper().current()->FindOrganisation(spec.organisation) == nullptr) {
    control.Refuse(origin, error_kind::kInvalid, kStep, "the organisation does not exist");
    return;
  }
  const auto checked = control.planner().CheckSubmission(spec);
  if (!checked) {
    control.Refuse(origin, error_kind::kInvalid, kStep, checked.error().detail);
    return;
  }
  constexpr size_t kIdLength = 16;
  const std::string id = "j" + Sha256Hex(spec.organisation + "\n" + key_).substr(0, kIdLength);
  const std::string row_key = "jobs/" + id;
  const stored_record* known = control.table().Find(row_key);
  if (known != nullptr) {
    const auto& row = std::get<job_row>(known->value);
    control.Answer(origin, job_detail{row, control.planner().Explain(row), false});
    return;
  }
  if (!control.table().loaded() ||
      (control.table().store_down() && !control.table().Busy(row_key))) {
    control.Refuse(origin, error_kind::kUnavailable, kStep, "the table service does not answer");
    return;
  }
  if (!control.table().Busy(row_key)) {
    job_row row;
    row.id = id;
    row.spec = std::move(spec);
    row.submitted_ms = control.wall_now().count();
    control.table().Want(std::move(row), write_rank::kFirst);
  }
  control.AnswerWhenWritten(origin, row_key);
}

}  // namespace eelgrass
