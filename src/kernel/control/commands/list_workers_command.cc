#include "kernel/control/commands/list_workers_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_workers_command::Run(control_core& desk, const command_origin& origin) {
  worker_list list;
  const document& doc = *desk.keeper().current();
  for (const auto& [id, worker] : desk.planner().machines().workers()) {
    worker_line line{id,         worker.domain,   worker.rack, "up", worker.capacity,
                     worker.own, worker.borrowed, {}};
    if (!worker.connected) {
      line.state = "lost";
    } else if (worker.leaving) {
      line.state = "leaving";
    } else if (desk.planner().failures().Quarantined(id, desk.now())) {
      line.state = "quarantined";
    } else if (desk.planner().failures().OnProbation(id, desk.now())) {
      line.state = "probation";
    } else if (doc.IsOut(worker.domain, desk.wall_now())) {
      line.state = "domain-out";
    }
    for (const auto& [job, amount] : worker.jobs) line.jobs.push_back(job);
    list.workers.push_back(std::move(line));
  }
  desk.Answer(origin, std::move(list));
}

}  // namespace eelgrass
