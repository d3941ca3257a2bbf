#include "kernel/sharing/usage_ledger.h"

#include <algorithm>
#include <cmath>

#include "kernel/base/log_event.h"
#include "kernel/placement/planning_view.h"

namespace eelgrass {
namespace {

/** Covers one or two runs of a typical job, so that a single wide gang is not taken for a burst. */
constexpr millis kHalfLife{20000};

/** Averages below this are not kept when the organisation has stopped using the service. */
constexpr double kNegligibleShare = 0.001;

/**
 * The least time between two log lines that an organisation is above its fair share: under lasting
 * contention, its average stays close to the limit and crosses it every few seconds.
 */
constexpr millis kLogInterval{10000};

constexpr double kPerMille = 1000;

/** Jobs of queues that are open to all have no organisation; they count as one of their own. */
bool IsKnown(std::string_view organisation, const batch_config& config) {
  return organisation.empty() || config.FindOrganisation(organisation) != nullptr;
}

bool HasReadyUnit(const tracked_job& job) {
  for (const auto& occurrence : job.occurrences) {
    for (const auto& step : occurrence.steps) {
      if (!step.released) continue;
      const bool ready =
          std::any_of(step.units.begin(), step.units.end(),
                      [](const unit_state& unit) { return !unit.done && unit.open_runs == 0; });
      if (ready) return true;
    }
  }
  return false;
}

/** The share of a service that the organisation's guarantee represents. */
double GuaranteedShare(std::string_view organisation, const amounts& capacity,
                       const batch_config& config) {
  const batch_organisation* owner = config.FindOrganisation(organisation);
  if (owner == nullptr) return 0;
  return std::min(1.0, LargestShare({0, 0, owner->guaranteed_accelerators}, capacity));
}

int64_t PerMille(double share) { return std::llround(share * kPerMille); }

}  // namespace

void usage_ledger::Update(const planning_view& view) {
  Advance(view.now);
  ReadRuns(view);
  ReadWaiting(view);
  for (auto& [name, service] : services_) {
    for (auto& [organisation, entry] : service.organisations) {
      organisation_usage& usage = entry.usage;
      usage.present = LargestShare(usage.used, service.capacity);
      if (!settled_) usage.share = usage.present;
    }
    Compare(service, view);
    for (auto& [organisation, entry] : service.organisations) {
      Log(name, organisation, entry, service, view.now);
    }
    Drop(service, view);
  }
  std::erase_if(services_, [](const auto& each) {
    return each.second.organisations.empty() && each.second.capacity == amounts{};
  });
  // Until a new planner knows the runs of earlier terms, it plans for jobs of its own term only.
  settled_ = view.least_term == 0;
}

/** Adds the time since the last update, in which the runs of that update were in progress. */
void usage_ledger::Advance(millis now) {
  const millis passed = std::max(millis(0), now - updated_);
  const double kept =
      std::exp2(-static_cast<double>(passed.count()) / static_cast<double>(kHalfLife.count()));
  for (auto& [name, service] : services_) {
    service.capacity = {};
    service.oldest_report = now;
    for (auto& [organisation, entry] : service.organisations) {
      organisation_usage& usage = entry.usage;
      usage.share = usage.share * kept + usage.present * (1 - kept);
      usage.used = {};
      usage.waiting = false;
    }
  }
  updated_ = now;
}

void usage_ledger::ReadRuns(const planning_view& view) {
  for (const auto& [id, worker] : view.pool.all()) {
    const auto [at, added] = services_.try_emplace(worker.profile.service);
    service_usage& service = at->second;
    if (added) service.oldest_report = view.now;
    service.capacity += worker.profile.capacity;
    for (const auto& [ref, record] : worker.runs) {
      const tracked_job* job = view.jobs.Find(record.unit.job);
      if (job == nullptr || record.phase == run_phase::kHeld) continue;
      service.organisations[job->job.organisation].usage.used += record.each;
      service.oldest_report = std::min(service.oldest_report, worker.reported);
    }
  }
}

void usage_ledger::ReadWaiting(const planning_view& view) {
  for (const auto& id : view.jobs.open()) {
    const tracked_job& job = *view.jobs.Find(id);
    const std::string& organisation = job.job.organisation;
    const batch_queue* queue = view.QueueOf(&job);
    if (queue == nullptr || job.job.accepted_term < view.least_term) continue;
    const organisation_usage* known = Find(organisation, queue->service);
    if (known != nullptr && known->waiting) continue;
    if (!HasReadyUnit(job) || !IsKnown(organisation, view.config)) continue;
    services_[queue->service].organisations[organisation].usage.waiting = true;
  }
}

void usage_ledger::Compare(service_usage& service, const planning_view& view) {
  const auto active = [](const organisation_usage& usage) {
    return usage.waiting || usage.used != amounts{};
  };
  int sharing = 0;
  int waiting = 0;
  double remainder = 1;
  for (auto& [organisation, entry] : service.organisations) {
    organisation_usage& usage = entry.usage;
    usage.fair = 0;
    if (!active(usage)) continue;
    ++sharing;
    waiting += usage.waiting ? 1 : 0;
    usage.fair = GuaranteedShare(organisation, service.capacity, view.config);
    remainder -= usage.fair;
  }
  for (auto& [organisation, entry] : service.organisations) {
    organisation_usage& usage = entry.usage;
    if (active(usage)) usage.fair += std::max(0.0, remainder) / sharing;
    usage.over = active(usage) && usage.share > kShareTolerance * usage.fair;
    usage.others_waiting = waiting - (usage.waiting ? 1 : 0);
  }
}

void usage_ledger::Log(std::string_view name, std::string_view organisation, entry& entry,
                       const service_usage& service, millis now) {
  const organisation_usage& usage = entry.usage;
  const bool goes_above =
      !entry.logged_over && usage.Crowds() && now - entry.logged >= kLogInterval;
  const bool comes_back = entry.logged_over && !usage.over;
  if (!goes_above && !comes_back) return;
  entry.logged_over = goes_above;
  if (goes_above) entry.logged = now;
  log_event(goes_above ? "organisation-above-share" : "organisation-within-share")
      .With("organisation", organisation)
      .With("service", name)
      .With("share_permille", PerMille(usage.share))
      .With("present_permille", PerMille(usage.present))
      .With("fair_permille", PerMille(usage.fair))
      .With("waiting_organisations", usage.others_waiting)
      .With("oldest_report_ms", (now - service.oldest_report).count());
}

/** Removes organisations that left the configuration, or that have not used the service lately. */
void usage_ledger::Drop(service_usage& service, const planning_view& view) {
  std::erase_if(service.organisations, [&](const auto& each) {
    const organisation_usage& usage = each.second.usage;
    if (usage.used != amounts{}) return false;
    if (!IsKnown(each.first, view.config)) return true;
    return !usage.waiting && usage.share < kNegligibleShare;
  });
}

const organisation_usage* usage_ledger::Find(std::string_view organisation,
                                             std::string_view service) const {
  const auto at = services_.find(service);
  if (at == services_.end()) return nullptr;
  const auto found = at->second.organisations.find(organisation);
  return found == at->second.organisations.end() ? nullptr : &found->second.usage;
}

bool usage_ledger::Crowds(std::string_view organisation, std::string_view service) const {
  const organisation_usage* usage = Find(organisation, service);
  return usage != nullptr && usage->Crowds();
}

int usage_ledger::crowding() const {
  int count = 0;
  for (const auto& [name, service] : services_) {
    for (const auto& [organisation, entry] : service.organisations) {
      count += entry.usage.Crowds() ? 1 : 0;
    }
  }
  return count;
}

}  // namespace eelgrass
