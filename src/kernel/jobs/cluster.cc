#include "kernel/jobs/cluster.h"

namespace eelgrass {

worker_state& cluster::MarkConnected(const hello& peer) {
  worker_state& worker = workers_[peer.id];
  worker.id = peer.id;
  worker.incarnation = peer.incarnation;
  worker.address = peer.address;
  worker.domain = peer.domain;
  worker.connected = true;
  return worker;
}

void cluster::ApplyAnnouncement(std::string_view id, const announce& announcement) {
  worker_state* worker = Find(id);
  if (worker == nullptr) return;
  worker->rack = announcement.rack;
  worker->region = announcement.region;
  worker->capacity = announcement.capacity;
  worker->leaving = announcement.leaving;
}

worker_state* cluster::Find(std::string_view worker) {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? nullptr : &found->second;
}

const worker_state* cluster::Find(std::string_view worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? nullptr : &found->second;
}

void cluster::Allocate(std::string_view job, allocation what) {
  const std::string key(job);  // a copy, since `job` may refer to the allocation that Free() erases
  Free(key);
  Apply(key, what, 1);
  allocations_[key] = std::move(what);
}

void cluster::Free(std::string_view job) {
  const auto found = allocations_.find(job);
  if (found == allocations_.end()) return;
  Apply(job, found->second, -1);
  allocations_.erase(found);
}

void cluster::Apply(std::string_view job, const allocation& what, int sign) {
  for (const auto& member : what.members) {
    worker_state& worker = workers_[member.agent];
    if (worker.id.empty()) worker.id = member.agent;
    const resources amount = member.amount * sign;
    usage_[what.organisation] += amount;
    if (sign > 0) {
      worker.jobs[std::string(job)] = member.amount;
    } else {
      worker.jobs.erase(std::string(job));
    }
    if (what.borrowing) {
      worker.borrowed += amount;
    } else {
      worker.own += amount;
      worker.own_by_organisation[what.organisation] += amount;
    }
  }
}

const allocation* cluster::FindAllocation(std::string_view job) const {
  const auto found = allocations_.find(job);
  return found == allocations_.end() ? nullptr : &found->second;
}

resources cluster::OwnUsage(std::string_view organisation, std::string_view worker) const {
  const worker_state* state = Find(worker);
  if (state == nullptr) return {};
  const auto found = state->own_by_organisation.find(organisation);
  return found == state->own_by_organisation.end() ? resources{} : found->second;
}

resources cluster::Usage(std::string_view organisation) const {
  const auto found = usage_.find(organisation);
  return found == usage_.end() ? resources{} : found->second;
}

resources cluster::capacity() const {
  resources total;
  for (const auto& [id, worker] : workers_) total += worker.capacity;
  return total;
}

void cluster::Expire(millis now, millis keep) {
  std::erase_if(workers_, [&](const auto& entry) {
    const worker_state& worker = entry.second;
    return !worker.connected && worker.jobs.empty() && now - worker.disconnected_at > keep;
  });
}

}  // namespace eelgrass
