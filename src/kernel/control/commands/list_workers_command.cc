#include "kernel/control/commands/list_workers_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_workers_command::Run(control_core& control, const command_origin& origin) {
  worker_list list;
  const document& doc = *control.keeper().current();
  for (const auto& [id, worker] : control.planner().machines().workers()) {
    worker_summary summary{id,         worker.domain,   worker.rack, "up", worker.capacity,
                           worker.own, worker.borrowed, {}};
    if (!worker.connected) {
      summary.state = "lost";
    } else if (worker.leaving) {
      summary.state = "leaving";
    } else if (control.planner().failures().Quarantined(id, control.now())) {
      summary.state = "quarantined";
    } else if (control.planner().failures().OnProbation(id, control.now())) {
      summary.state = "probation";
    } else if (doc.IsOut(worker.domain, control.wall_now())) {
      summary.state = "domain-out";
    }
    for (const auto& [job, amount] : worker.jobs) summary.jobs.push_back(job);
    list.workers.push_back(std::move(summary));
  }
  control.Answer(origin, std::move(list));
}

}  // namespace eelgrass
