#include "kernel/control/commands/list_domains_command.h"

#include <set>
#include <string_view>

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_domains_command::Run(control_core& control, const command_origin& origin) {
  const document& doc = *control.keeper().current();
  const cluster& machines = control.planner().machines();
  domain_list list;
  for (const auto& domain : doc.domains) {
    domain_summary summary;
    summary.name = domain.name;
    summary.region = domain.region;
    window_mode mode = domain.out_mode;
    summary.out = doc.IsOut(domain.name, control.wall_now(), &mode);
    if (summary.out) summary.mode = WindowModeName(mode);
    const millis next = doc.NextWindow(domain.name, control.wall_now());
    if (next != kFarFuture) summary.next_window_ms = next.count();
    std::set<std::string_view> jobs;
    for (const auto& [id, worker] : machines.workers()) {
      if (worker.domain != domain.name) continue;
      ++summary.workers;
      for (const auto& [job, amount] : worker.jobs) jobs.insert(job);
    }
    summary.running = static_cast<int>(jobs.size());
    list.domains.push_back(std::move(summary));
  }
  control.Answer(origin, std::move(list));
}

}  // namespace eelgrass
