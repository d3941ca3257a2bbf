#include "kernel/jobs/guarantee_coverage.h"

#include <algorithm>
#include <utility>

namespace eelgrass {

void guarantee_coverage::Update(const document& doc, std::span<const ledger_worker> workers) {
  ledger_.Update(doc, workers, [this](std::string_view owner, std::string_view worker) {
    return machines_.OwnUsage(owner, worker);
  });
}

bool guarantee_coverage::Covers(const allocation& held) const {
  return std::all_of(held.members.begin(), held.members.end(), [&](const auto& member) {
    return machines_.OwnUsage(held.organisation, member.agent)
        .Fits(ledger_.Share(held.organisation, member.agent));
  });
}

std::vector<std::string> guarantee_coverage::Jobs(bool borrowing) const {
  std::vector<std::string> jobs;
  for (const auto& [job, held] : machines_.allocations()) {
    if (held.borrowing == borrowing) jobs.push_back(job);
  }
  return jobs;
}

bool guarantee_coverage::DemoteUncovered(std::string_view job) {
  allocation held = *machines_.FindAllocation(job);
  if (Covers(held)) return false;
  // Each demotion frees guaranteed capacity for the remaining jobs of the organisation.
  held.borrowing = true;
  machines_.Allocate(job, std::move(held));
  ++demoted_;
  return true;
}

bool guarantee_coverage::PromoteCovered(std::string_view job) {
  allocation held = *machines_.FindAllocation(job);
  const bool fits = std::all_of(held.members.begin(), held.members.end(), [&](const auto& member) {
    const resources own = machines_.OwnUsage(held.organisation, member.agent);
    return (own + member.amount).Fits(ledger_.Share(held.organisation, member.agent));
  });
  if (!fits) return false;
  held.borrowing = false;
  machines_.Allocate(job, std::move(held));
  return true;
}

}  // namespace eelgrass
