#include "kernel/jobs/serving_workers.h"

namespace eelgrass {
namespace {

constexpr millis kBackingGracePeriod{30000};  // after a disconnection
constexpr millis kReturnInterval{200};        // between workers of a domain that returns to service

}  // namespace

serving_workers::serving_workers(const cluster& machines, const failure_tracker& failures)
    : machines_(machines), failures_(failures) {}

bool serving_workers::UpdateDomains(const document& doc, millis now, millis wall_now) {
  bool changed = false;
  for (const auto& domain : doc.domains) {
    const bool out = doc.IsOut(domain.name, wall_now);
    if (out == Out(domain.name)) continue;
    changed = true;
    if (out) {
      domains_out_.insert(domain.name);
    } else {
      domains_out_.erase(domain.name);
      domain_returned_[domain.name] = now;
    }
  }
  return changed;
}

std::vector<ledger_worker> serving_workers::BackingWorkers(millis now) const {
  std::vector<ledger_worker> workers;
  for (const auto& [id, worker] : machines_.workers()) {
    const bool there = worker.connected || now - worker.disconnected_at < kBackingGracePeriod;
    const bool serves = there && !worker.leaving && !worker.capacity.empty() &&
                        !Out(worker.domain) && !failures_.Quarantined(id, now);
    if (!serves) continue;
    workers.push_back({id, worker.rack, worker.domain, worker.region, worker.capacity});
  }
  return workers;
}

void serving_workers::CollectUsable(const document& doc, millis now) {
  usable_.clear();
  std::map<std::string_view, int64_t> rank_in_domain;
  for (const auto& [id, worker] : machines_.workers()) {
    const int64_t rank = rank_in_domain[worker.domain]++;
    const bool serves = worker.connected && !worker.leaving &&
                        doc.FindDomain(worker.domain) != nullptr && !Out(worker.domain) &&
                        !failures_.Quarantined(id, now);
    if (!serves) continue;
    const auto returned = domain_returned_.find(worker.domain);
    const bool ramping =
        returned != domain_returned_.end() && now < returned->second + kReturnInterval * rank;
    if (!ramping) usable_.insert(id);
  }
}

}  // namespace eelgrass
