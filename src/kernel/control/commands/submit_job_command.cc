#include "kernel/control/commands/submit_job_command.h"

#include "kernel/base/digest.h"
#include "kernel/control/control_core.h"

namespace eelgrass {

void submit_job_command::Run(control_core& desk, const command_origin& origin) {
  constexpr std::string_view kStep = "submit-job";
  job_spec spec = spec_;
  if (!origin.who.is_operator()) spec.organisation = origin.who.name;
  if (desk.keeper().current()->FindOrganisation(spec.organisation) == nullptr) {
    desk.Refuse(origin, error_kind::kInvalid, kStep, "no such organisation");
    return;
  }
  const auto checked = desk.planner().CheckSubmission(spec);
  if (!checked) {
    desk.Refuse(origin, error_kind::kInvalid, kStep, checked.error().detail);
    return;
  }
  constexpr size_t kIdLength = 16;
  const std::string id = "j" + Sha256Hex(spec.organisation + "\n" + key_).substr(0, kIdLength);
  const std::string row_key = "jobs/" + id;
  const stored_record* known = desk.table().Find(row_key);
  if (known != nullptr) {
    const auto& row = std::get<job_row>(known->value);
    desk.Answer(origin, job_detail{row, desk.planner().Explain(row), false});
    return;
  }
  if (!desk.table().loaded() || (desk.table().store_down() && !desk.table().Busy(row_key))) {
    desk.Refuse(origin, error_kind::kUnavailable, kStep, "the table service does not answer");
    return;
  }
  if (!desk.table().Busy(row_key)) {
    job_row row;
    row.id = id;
    row.spec = std::move(spec);
    row.submitted_ms = desk.wall_now().count();
    desk.table().Want(std::move(row), write_rank::kFirst);
  }
  desk.AnswerWhenWritten(origin, row_key);
}

}  // namespace eelgrass
