#include "kernel/control/commands/list_jobs_command.h"

#include <algorithm>
#include <tuple>

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_jobs_command::Run(control_core& control, const command_origin& origin) {
  job_list list;
  for (const auto* row : control.table().Jobs()) {
    const bool visible = origin.who.is_operator() || row->spec.organisation == origin.who.name;
    const bool wanted = state_.empty() || JobStateName(row->state) == state_;
    if (visible && wanted) list.jobs.push_back(*row);
  }
  std::sort(list.jobs.begin(), list.jobs.end(), [](const job_row& a, const job_row& b) {
    return std::tie(a.submitted_ms, a.id) < std::tie(b.submitted_ms, b.id);
  });
  control.Answer(origin, std::move(list));
}

}  // namespace eelgrass
