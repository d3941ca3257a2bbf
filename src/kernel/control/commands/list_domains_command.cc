#include "kernel/control/commands/list_domains_command.h"

#include <set>
#include <string_view>

#include "kernel/control/control_core.h"

namespace eelgrass {

void list_domains_command::Run(control_core& desk, const command_origin& origin) {
  const document& doc = *desk.keeper().current();
  const cluster& machines = desk.planner().machines();
  domain_list list;
  for (const auto& domain : doc.domains) {
    domain_line line;
    line.name = domain.name;
    line.region = domain.region;
    window_mode mode = domain.out_mode;
    line.out = doc.IsOut(domain.name, desk.wall_now(), &mode);
    if (line.out) line.mode = WindowModeName(mode);
    const millis next = doc.NextWindow(domain.name, desk.wall_now());
    if (next != kFarFuture) line.next_window_ms = next.count();
    std::set<std::string_view> jobs;
    for (const auto& [id, worker] : machines.workers()) {
      if (worker.domain != domain.name) continue;
      ++line.workers;
      for (const auto& [job, amount] : worker.jobs) jobs.insert(job);
    }
    line.running = static_cast<int>(jobs.size());
    list.domains.push_back(std::move(line));
  }
  desk.Answer(origin, std::move(list));
}

}  // namespace eelgrass
