#include "kernel/placement/capacity_map.h"

#include <algorithm>

#include "kernel/advice/ticket_cache.h"
#include "kernel/batch/unit_order.h"
#include "kernel/placement/speed_match.h"

namespace eelgrass {
namespace {

/** Minimum remaining lease for a start: covers delivery of the order and one retry. */
constexpr millis kMinRemainingLease{1000};

/** A worker without a report for this long gets no starts; workers report every second. */
constexpr millis kMaxReportAge{1600};

/** Workers are reserved only while less than one part in this many of the capacity is free. */
constexpr double kBusyCapacityDivisor = 2;

/** The free share of a worker, by its scarcest resource. */
double FreeShare(const candidate_worker& candidate) {
  const amounts& capacity = candidate.worker->profile.capacity;
  return 1 - LargestShare(capacity - candidate.free, capacity);
}

}  // namespace

bool capacity_map::Usable(const pool_worker& worker, const planning_view& view) {
  return worker.linked && worker.listing && worker.recorded && !worker.profile.draining &&
         view.now >= worker.avoid_until && view.now - worker.reported < kMaxReportAge &&
         worker.lease_end - view.now > kMinRemainingLease &&
         !view.evacuated.contains(worker.profile.domain);
}

void capacity_map::Read(const planning_view& view) {
  workers_.clear();
  running_.clear();
  for (const auto& [id, worker] : view.pool.all()) {
    for (const auto& [ref, record] : worker.runs) running_[record.unit].push_back(&record);
    if (!Usable(worker, view)) continue;
    candidate_worker candidate;
    candidate.worker = &worker;
    candidate.pace = view.speeds.Pace(worker.profile);
    candidate.speed = view.speeds.SpeedOf(worker.profile);
    candidate.future = worker.FutureCapacity();
    const amounts present = worker.PresentCapacity();
    candidate.free = {std::min(present.cpu_milli, candidate.future.cpu_milli),
                      std::min(present.memory_mb, candidate.future.memory_mb),
                      std::min(present.accelerators, candidate.future.accelerators)};
    for (const auto& [ref, record] : worker.runs) {
      candidate.probed = candidate.probed || record.placed >= worker.quarantine.until;
      ++candidate.tasks[{record.unit.job, record.unit.occurrence, record.unit.step}];
    }
    workers_.push_back(std::move(candidate));
  }
}

std::span<const run_record* const> capacity_map::RunsOf(const unit_ref& unit) const {
  const auto found = running_.find(unit);
  if (found == running_.end()) return {};
  return found->second;
}

/** Reserves workers for urgent work, according to its recent demand at each service. */
void capacity_map::ReserveHeadroom(std::span<const ready_unit> ready, const planning_view& view) {
  std::map<std::string, service_load> loads;
  for (const auto& candidate : workers_) {
    const worker_profile& profile = candidate.worker->profile;
    service_load& load = loads[profile.service];
    load.largest = std::max(load.largest, profile.capacity, [](const amounts& a, const amounts& b) {
      return Weight(a) < Weight(b);
    });
    ++load.workers;
    load.free += FreeShare(candidate);
  }
  for (const auto& unit : ready) {
    if (!IsUrgent(*unit.queue)) continue;
    service_load& load = loads[unit.queue->service];
    load.urgent += LargestShare(unit.each, load.largest) * unit.members;
  }
  for (const auto& [unit, records] : running_) {
    const batch_queue* queue = view.QueueOf(view.jobs.Find(unit.job));
    if (queue == nullptr || !IsUrgent(*queue)) continue;
    service_load& load = loads[queue->service];
    for (const auto* record : records) load.urgent += LargestShare(record->each, load.largest);
  }
  for (const auto& [service, load] : loads) {
    urgent_headroom& headroom = headroom_[service];
    headroom.Observe(load.urgent, view.now);
    if (load.free * kBusyCapacityDivisor > load.workers) continue;
    ReserveWorkers(service, headroom.Reserved(load.urgent, load.workers));
  }
}

/** Reserves the emptiest fast workers rack by rack: urgent gangs need whole workers in a rack. */
void capacity_map::ReserveWorkers(std::string_view service, double workers) {
  std::map<std::string, int64_t> racks;
  std::vector<candidate_worker*> emptiest;
  for (auto& candidate : workers_) {
    if (candidate.worker->profile.service != service) continue;
    const bool held = candidate.worker->quarantine.strikes > 0;  // urgent work may not use it
    if (candidate.pace != worker_pace::kTypical || held) continue;
    racks[candidate.worker->profile.rack] += Weight(candidate.free);
    emptiest.push_back(&candidate);
  }
  std::stable_sort(emptiest.begin(), emptiest.end(),
                   [&](const candidate_worker* a, const candidate_worker* b) {
                     const auto key = [&](const candidate_worker* r) {
                       const std::string& rack = r->worker->profile.rack;
                       return std::tuple(-racks.at(rack), rack, -Weight(r->free));
                     };
                     return key(a) < key(b);
                   });
  for (auto* candidate : emptiest) {
    if (workers <= 0) return;
    candidate->reserved = true;
    workers -= FreeShare(*candidate);
  }
}

/** Whether a unit may use reserved workers: it is urgent, was stopped before or is running late. */
bool capacity_map::MayUseReserved(const ready_unit& unit, const planning_view& view) {
  if (IsUrgent(*unit.queue) || unit.step->long_running || !unit.state->saved.empty()) return true;
  const millis slack = Objective(*unit.job, *unit.queue) - LongestChain(*unit.job);
  return unit.job->job.occurrences > 0 || view.now - unit.job->accepted > slack / 2;
}

/** A worker in quarantine is probed with one unit, and as long as possible not an urgent one. */
bool capacity_map::MayProbe(const candidate_worker& candidate, const ready_unit& unit, millis now) {
  const quarantine_state& quarantine = candidate.worker->quarantine;
  if (!quarantine.Probing(now)) return true;
  return !candidate.probed && (!IsUrgent(*unit.queue) || quarantine.MayProbeUrgent(now));
}

bool capacity_map::Advised(const ready_unit& unit, const worker_identity& worker,
                           const planning_view& view, ticket_rule tickets) {
  if (!unit.queue->advice.wanted) return true;
  if (view.advice == nullptr) return false;
  if (view.advice->Ticket(unit.unit, worker, view.now) != nullptr) return true;
  return tickets == ticket_rule::kPossible && !view.advice->Refused(unit.unit, worker, view.now);
}

/** Whether a worker will certainly get a ticket for the unit, or needs none. */
bool capacity_map::KnownAsAllowed(const ready_unit& unit, const worker_identity& worker,
                                  const planning_view& view) {
  if (!unit.queue->advice.wanted || view.advice == nullptr) return true;
  return view.advice->Allowed(unit.unit, worker);
}

std::vector<candidate_worker*> capacity_map::CandidatesFor(const ready_unit& unit,
                                                           const planning_view& view,
                                                           ticket_rule tickets) {
  const bool may_use_reserved = MayUseReserved(unit, view);
  std::vector<candidate_worker*> fitting;
  for (auto& candidate : workers_) {
    const worker_profile& profile = candidate.worker->profile;
    const std::string& label = unit.step->required_label;
    if (profile.service != unit.queue->service) continue;
    const bool bound = std::any_of(unit.bound.begin(), unit.bound.end(), [&](const auto& member) {
      return member.second == profile.self.id;
    });
    if (candidate.reserved && !may_use_reserved && !bound) continue;
    if (!MayProbe(candidate, unit, view.now) && !bound) continue;
    if (!label.empty() && !candidate.worker->HasLabel(label)) continue;
    if (!unit.each.Fits(profile.capacity)) continue;
    if (!Advised(unit, profile.self, view, tickets)) continue;
    fitting.push_back(&candidate);
  }
  // Workers on which the unit has failed come last; otherwise the tightest fit comes first. Urgent
  // work prefers fast workers and leaves slow ones to work that is not urgent.
  const bool urgent = IsUrgent(*unit.queue) && !unit.step->long_running;
  const speed_match speeds(unit, view);
  const auto pace_rank = [urgent](worker_pace pace) {
    if (pace == worker_pace::kVerySlow) return 2;
    return (pace == worker_pace::kSlow) == urgent ? 1 : 0;
  };
  using sort_key = std::tuple<bool, bool, int, int, bool, int64_t, int64_t>;
  std::vector<std::pair<sort_key, candidate_worker*>> order;
  order.reserve(fitting.size());
  for (auto* r : fitting) {
    const worker_identity& self = r->worker->profile.self;
    order.emplace_back(
        sort_key{unit.state->failed_on.contains(self.id), r->worker->profile.cold_ms > 0,
                 speeds.Rank(*r), pace_rank(r->pace), !KnownAsAllowed(unit, self, view),
                 r->free.accelerators, r->free.cpu_milli},
        r);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  std::transform(order.begin(), order.end(), fitting.begin(),
                 [](const auto& entry) { return entry.second; });
  return fitting;
}

}  // namespace eelgrass
