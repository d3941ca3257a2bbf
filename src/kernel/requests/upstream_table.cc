#include "kernel/requests/upstream_table.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr double kServiceTimeSmoothing = 0.1;
constexpr int kFailuresToEject = 5;
constexpr millis kFirstEjection{1000};
constexpr int kMaxEjectionDoublings = 5;

bool AcceptsWork(const upstream_state& agent) {
  return agent.connected && !agent.leaving && agent.slots > 0;
}

}  // namespace

upstream_state& upstream_table::AddConnected(const hello& peer) {
  upstream_state& agent = agents_[peer.id];
  if (agent.incarnation != peer.incarnation) agent = upstream_state{};
  agent.id = peer.id;
  agent.incarnation = peer.incarnation;
  agent.domain = peer.domain;
  agent.connected = true;
  return agent;
}

upstream_state* upstream_table::Find(std::string_view agent) {
  const auto found = agents_.find(agent);
  return found == agents_.end() ? nullptr : &found->second;
}

const upstream_state* upstream_table::Find(std::string_view agent) const {
  const auto found = agents_.find(agent);
  return found == agents_.end() ? nullptr : &found->second;
}

std::vector<std::string_view> upstream_table::AvailableAgents(std::string_view service) const {
  std::vector<std::string_view> members;
  for (const auto& [id, agent] : agents_) {
    if (agent.service == service && AcceptsWork(agent)) members.push_back(id);
  }
  return members;
}

std::vector<route_candidate> upstream_table::Candidates(std::string_view service,
                                                        millis now) const {
  std::vector<route_candidate> candidates;
  for (const auto& [id, agent] : agents_) {
    if (agent.service != service || !AcceptsWork(agent) || agent.ejected_until > now) continue;
    const int free = agent.credits - agent.in_flight;
    if (free <= 0) continue;
    candidates.push_back({id, agent.domain, free, agent.in_flight, agent.mean_service_ms});
  }
  return candidates;
}

int upstream_table::UsableSlots(std::string_view service) const {
  int credits = 0;
  for (const auto& [id, agent] : agents_) {
    if (agent.service == service && AcceptsWork(agent)) credits += agent.credits;
  }
  return credits * kSlotsPerQueuedRequest / (kSlotsPerQueuedRequest + 1);
}

double upstream_table::MeanServiceMs(std::string_view service) const {
  double total = 0;
  int measured = 0;
  for (const auto& [id, agent] : agents_) {
    if (agent.service != service || agent.mean_service_ms == 0) continue;
    total += agent.mean_service_ms;
    ++measured;
  }
  return measured > 0 ? total / measured : 0;
}

void upstream_table::RecordSuccess(upstream_state& agent, double service_ms) {
  agent.consecutive_failures = 0;
  agent.ejections = 0;
  if (agent.mean_service_ms == 0) agent.mean_service_ms = service_ms;
  agent.mean_service_ms += kServiceTimeSmoothing * (service_ms - agent.mean_service_ms);
}

void upstream_table::RecordFailure(upstream_state& agent, millis now) {
  ++agent.consecutive_failures;
  if (agent.consecutive_failures < kFailuresToEject || !CanEject(agent.service, now)) return;
  // One more failure after the ejection ejects the agent again.
  agent.consecutive_failures = kFailuresToEject - 1;
  const int doublings = std::min(agent.ejections, kMaxEjectionDoublings);
  agent.ejected_until = now + kFirstEjection * (int64_t{1} << doublings);
  ++agent.ejections;
}

bool upstream_table::CanEject(std::string_view service, millis now) const {
  int members = 0;
  int ejected = 0;
  for (const auto& [id, agent] : agents_) {
    if (agent.service != service || !AcceptsWork(agent)) continue;
    ++members;
    if (agent.ejected_until > now) ++ejected;
  }
  return (ejected + 1) * 2 <= members;
}

void upstream_table::Expire(millis now, millis keep) {
  std::erase_if(agents_, [&](const auto& entry) {
    const upstream_state& agent = entry.second;
    return !agent.connected && agent.in_flight == 0 && now - agent.disconnected_at > keep;
  });
}

}  // namespace eelgrass
