#include "kernel/control/commands/plan_change_command.h"

#include <algorithm>

#include "kernel/config/document_rules.h"
#include "kernel/control/control_core.h"

namespace eelgrass {
namespace {

/** Jobs that run in a failure domain that the document takes out, or whose owner is gone. */
std::vector<std::string> AffectedJobs(control_core& desk, const document& next) {
  std::vector<std::string> affected;
  for (const auto& [id, row] : desk.planner().live_rows()) {
    const bool owner_gone = next.FindOrganisation(row.spec.organisation) == nullptr;
    const bool class_gone = next.FindJobClass(row.spec.job_class) == nullptr;
    const bool domain_out = std::any_of(row.members.begin(), row.members.end(), [&](const auto& m) {
      const worker_state* worker = desk.planner().machines().Find(m.agent);
      return worker != nullptr && next.IsOut(worker->domain, desk.wall_now());
    });
    if (owner_gone || class_gone || domain_out) affected.push_back(id);
  }
  return affected;
}

}  // namespace

void plan_change_command::Run(control_core& desk, const command_origin& origin) {
  plan_detail plan;
  const checked_document checked = CheckDocument(text_);
  plan.valid = checked.valid();
  plan.issues = checked.issues;
  if (plan.valid) {
    const document& today = *desk.keeper().current();
    plan.differences = Differences(desk.keeper().text(), text_);
    plan.suspended_now = CountUnfitGuarantees(today, {});
    plan.suspended_then = CountUnfitGuarantees(checked.doc, {});
    plan.jobs_affected = AffectedJobs(desk, checked.doc);
  }
  desk.Answer(origin, std::move(plan));
}

}  // namespace eelgrass
