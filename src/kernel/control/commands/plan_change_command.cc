#include "kernel/control/commands/plan_change_command.h"

#include <algorithm>

#include "kernel/config/document_rules.h"
#include "kernel/control/control_core.h"

namespace eelgrass {
namespace {

/** Ids of jobs in a failure domain that `next` takes out, or whose owner or class it removes. */
std::vector<std::string> AffectedJobs(control_core& control, const document& next) {
  std::vector<std::string> affected;
  for (const auto& [id, row] : control.planner().live_rows()) {
    const bool owner_gone = next.FindOrganisation(row.spec.organisation) == nullptr;
    const bool class_gone = next.FindJobClass(row.spec.job_class) == nullptr;
    const bool domain_out = std::any_of(row.members.begin(), row.members.end(), [&](const auto& m) {
      const worker_state* worker = control.planner().machines().Find(m.agent);
      return worker != nullptr && next.IsOut(worker->domain, control.wall_now());
    });
    if (owner_gone || class_gone || domain_out) affected.push_back(id);
  }
  return affected;
}

}  // namespace

void plan_change_command::Run(control_core& control, const command_origin& origin) {
  plan_detail plan;
  const checked_document checked = CheckDocument(text_);
  plan.valid = checked.valid();
  plan.issues = checked.issues;
  if (plan.valid) {
    const document& current = *control.keeper().current();
    plan.differences = Differences(control.keeper().text(), text_);
    plan.suspended_now = CountUnfitGuarantees(current, {});
    plan.suspended_then = CountUnfitGuarantees(checked.doc, {});
    plan.jobs_affected = AffectedJobs(control, checked.doc);
  }
  control.Answer(origin, std::move(plan));
}

}  // namespace eelgrass
