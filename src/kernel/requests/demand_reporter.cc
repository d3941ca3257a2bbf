#include "kernel/requests/demand_reporter.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kDemandInterval{20};

}  // namespace

std::vector<send_to_peer> demand_reporter::DueMessages(millis now) {
  std::vector<send_to_peer> messages;
  if (now < next_report_) return messages;
  next_report_ = now + kDemandInterval;
  std::map<std::string, int, std::less<>> wanted;
  for (const auto& [service, queue] : queues_) wanted[service] = queue.size();
  std::map<std::string, int, std::less<>> members;
  for (const auto& [id, agent] : upstreams_.all()) {
    if (!agent.connected) continue;
    wanted[agent.service] += agent.in_flight;
    ++members[agent.service];
  }
  for (auto& [id, agent] : upstreams_.all()) {
    if (!agent.connected || agent.slots == 0) continue;
    const int count = members[agent.service];
    const int share = (wanted[agent.service] + count - 1) / count;
    const int demand = std::min(2 * agent.slots, std::max(share, agent.in_flight));
    if (demand == agent.last_demand_sent) continue;
    agent.last_demand_sent = demand;
    messages.push_back({id, slot_demand{demand}});
  }
  return messages;
}

}  // namespace eelgrass
