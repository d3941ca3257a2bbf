#include "kernel/jobs/job_scheduler.h"

#include <algorithm>
#include <tuple>

#include "kernel/jobs/submission_rules.h"

namespace eelgrass {
namespace {

constexpr millis kNormalCheckpoint{600000};  // longest that jobs not urgent wait for
constexpr millis kWindowMargin{60000};
constexpr int kReservationProbes = 12;

double ShareOf(const resources& part, const resources& total) {
  const auto ratio = [](int a, int b) { return b > 0 ? static_cast<double>(a) / b : 0.0; };
  return std::max({ratio(part.accelerators, total.accelerators), ratio(part.cores, total.cores),
                   ratio(part.memory_gb, total.memory_gb)});
}

gang_shape ShapeOf(const job_spec& spec) { return {spec.tasks, spec.per_task, spec.within}; }

urgency RankOf(const schedule_view& view, const job_row& row) {
  const job_class* kind = view.doc.FindJobClass(row.spec.job_class);
  return kind != nullptr ? kind->rank : urgency::kNormal;
}

millis CheckpointOf(const schedule_view& view, const job_row& row) {
  const job_class* kind = view.doc.FindJobClass(row.spec.job_class);
  return kind != nullptr ? kind->checkpoint_ms : millis(0);
}

/** Run time that is lost if a running job is stopped without a checkpoint. */
millis UnsavedWork(const schedule_view& view, const job_row& row) {
  return view.wall_now - millis(row.started_ms);
}

}  // namespace

job_scheduler::job_scheduler(std::unique_ptr<queue_policy> ordering,
                             std::unique_ptr<placement_policy> placement)
    : ordering_(std::move(ordering)), placement_(std::move(placement)) {}

std::vector<start_decision> job_scheduler::Plan(const schedule_view& view) {
  failed_.clear();
  reservation_.reset();
  CollectCandidates(view);
  running_.clear();
  for (const job_row* row : view.running) running_[row->id] = row;
  std::vector<start_decision> decisions;
  for (const size_t index : OrderWaiting(view)) {
    const job_row& row = *view.waiting[index];
    auto decision = TryStart(view, row);
    if (decision) {
      view.machines.Allocate(row.id,
                             {row.spec.organisation, decision->members, decision->borrowing});
      decisions.push_back(std::move(*decision));
      continue;
    }
    if (!ordering_->MayOvertake()) break;
    if (!reservation_) ReservePlace(view, row);
  }
  return decisions;
}

std::vector<size_t> job_scheduler::OrderWaiting(const schedule_view& view) const {
  const resources capacity = view.machines.capacity();
  std::vector<waiting_job> jobs;
  jobs.reserve(view.waiting.size());
  for (const job_row* row : view.waiting) {
    const organisation* owner = view.doc.FindOrganisation(row->spec.organisation);
    const int weight = owner != nullptr ? std::max(1, owner->weight) : 1;
    waiting_job job;
    job.id = row->id;
    job.rank = RankOf(view, *row);
    job.waited = view.wall_now - millis(row->submitted_ms);
    job.estimate = view.estimator.Estimate(row->spec) - millis(row->saved_ms);
    job.size = ShareOf(row->spec.total(), capacity);
    job.owner_usage = ShareOf(view.machines.Usage(row->spec.organisation), capacity) / weight;
    jobs.push_back(job);
  }
  return ordering_->Order(jobs);
}

std::optional<start_decision> job_scheduler::TryStart(const schedule_view& view,
                                                      const job_row& row) {
  constexpr placement_mode kUrgentModes[] = {
      placement_mode::kOwnFree, placement_mode::kOwnByEviction, placement_mode::kBorrow};
  constexpr placement_mode kOtherModes[] = {placement_mode::kOwnFree, placement_mode::kBorrow,
                                            placement_mode::kOwnByEviction};
  const bool urgent = RankOf(view, row) == urgency::kUrgent;
  for (const placement_mode how : urgent ? kUrgentModes : kOtherModes) {
    auto decision = TryMode(view, row, how);
    if (decision) return decision;
  }
  return std::nullopt;
}

std::optional<start_decision> job_scheduler::TryMode(const schedule_view& view, const job_row& row,
                                                     placement_mode how) {
  const job_class* kind = view.doc.FindJobClass(row.spec.job_class);
  const bool guarantee_only = kind != nullptr && !MayBorrow(*kind);
  if (how == placement_mode::kBorrow && guarantee_only) return std::nullopt;
  const std::string key = FailureKey(row, how);
  if (failed_.contains(key)) return std::nullopt;
  CollectAvailable(view, row, how);
  start_decision decision;
  decision.job = row.id;
  decision.borrowing = how == placement_mode::kBorrow;
  bool placed = placement_->Place(ShapeOf(row.spec), available_, parts_);
  if (placed) {
    for (const auto& part : parts_) {
      const worker_state& worker = *view.machines.Find(available_[part.worker].worker);
      decision.members.push_back(
          {worker.id, worker.address, part.tasks, row.spec.per_task * part.tasks});
    }
    placed = how != placement_mode::kOwnByEviction ||
             ChooseVictims(view, row, decision.members, decision.evictions);
  }
  if (placed) return decision;
  failed_.insert(key);
  return std::nullopt;
}

std::string job_scheduler::FailureKey(const job_row& row, placement_mode how) const {
  const job_spec& spec = row.spec;
  const bool own = how != placement_mode::kBorrow;
  std::string key = std::to_string(static_cast<int>(how)) + "/";
  key += std::to_string(spec.tasks) + "x" + std::to_string(spec.per_task.accelerators) + "," +
         std::to_string(spec.per_task.cores) + "," + std::to_string(spec.per_task.memory_gb) + "@" +
         std::string(AdjacencyName(spec.within));
  // Service windows and the backfill reservation depend on the run time, guarantees on the owner.
  key += "/" + spec.job_class + "/" + std::to_string(spec.declared_ms.count());
  if (own) key += "/" + spec.organisation;
  for (const auto& worker : row.failed_workers) key += "!" + worker;
  return key;
}

void job_scheduler::CollectCandidates(const schedule_view& view) {
  candidates_.clear();
  candidate_index_.clear();
  for (const auto& [id, worker] : view.machines.workers()) {
    if (!view.usable.contains(id)) continue;
    candidate_index_[worker.id] = candidates_.size();
    candidates_.push_back({&worker, view.ledger.Held(id), view.failures.OnProbation(id, view.now)});
  }
}

void job_scheduler::CollectAvailable(const schedule_view& view, const job_row& row,
                                     placement_mode how) {
  available_.clear();
  if (how != placement_mode::kBorrow) {
    CollectGuaranteed(view, row, how == placement_mode::kOwnByEviction);
    return;
  }
  const millis end = view.wall_now + view.estimator.Estimate(row.spec) - millis(row.saved_ms);
  const bool respect_reservation = reservation_ && end > reservation_->until;
  for (const auto& place : candidates_) {
    const worker_state& worker = *place.worker;
    resources available = worker.free();
    if (CountFitting(row.spec.per_task, available, 1) == 0) continue;
    if (respect_reservation) {
      const auto held = reservation_->amounts.find(worker.id);
      if (held != reservation_->amounts.end()) available -= held->second;
      if (CountFitting(row.spec.per_task, available, 1) == 0) continue;
    }
    if (!MayUse(view, row, place)) continue;
    const resources unheld = worker.capacity - place.held;
    const double promised = 1 - ShareOf(Least(unheld, available), worker.capacity);
    available_.push_back({worker.id, worker.rack, worker.domain, worker.region, available,
                          worker.capacity, promised});
  }
}

void job_scheduler::CollectGuaranteed(const schedule_view& view, const job_row& row,
                                      bool evicting) {
  for (const auto& [id, share] : view.ledger.SharesOf(row.spec.organisation)) {
    const auto index = candidate_index_.find(id);
    if (index == candidate_index_.end()) continue;
    const candidate& place = candidates_[index->second];
    const worker_state& worker = *place.worker;
    resources available = share - view.machines.OwnUsage(row.spec.organisation, id);
    double displacement_cost = 0;
    if (evicting) {
      const resources taken = available - Least(available, worker.free());
      displacement_cost = ShareOf(taken, worker.capacity);
    } else {
      available = Least(available, worker.free());
    }
    if (CountFitting(row.spec.per_task, available, 1) == 0 || !MayUse(view, row, place)) continue;
    available_.push_back({worker.id, worker.rack, worker.domain, worker.region, available,
                          worker.capacity, displacement_cost});
  }
}

bool job_scheduler::MayUse(const schedule_view& view, const job_row& row,
                           const candidate& place) const {
  if (place.on_probation && !place.worker->jobs.empty()) return false;
  const auto& failed = row.failed_workers;
  const bool failed_there =
      !failed.empty() && std::find(failed.begin(), failed.end(), place.worker->id) != failed.end();
  return !failed_there && EndsBeforeWindow(view, row, *place.worker);
}

bool job_scheduler::EndsBeforeWindow(const schedule_view& view, const job_row& row,
                                     const worker_state& worker) const {
  if (view.doc.windows.empty()) return true;
  const millis window = view.doc.NextWindow(worker.domain, view.wall_now);
  if (window == kFarFuture) return true;
  const millis checkpoint = CheckpointOf(view, row);
  if (checkpoint > millis(0)) return view.wall_now + checkpoint + kWindowMargin < window;
  return view.wall_now + view.estimator.Estimate(row.spec) < window;
}

bool job_scheduler::ChooseVictims(const schedule_view& view, const job_row& row,
                                  const std::vector<gang_member>& members,
                                  std::vector<eviction>& evictions) const {
  const bool urgent = RankOf(view, row) == urgency::kUrgent;
  const millis longest = urgent ? kUrgentCheckpoint : kNormalCheckpoint;
  std::set<std::string> chosen;
  for (const auto& member : members) {
    const worker_state& worker = *view.machines.Find(member.agent);
    resources free = worker.free();
    for (const auto& [job, amount] : worker.jobs) {
      if (chosen.contains(job)) free += amount;
    }
    struct victim_candidate {
      millis vacate;
      millis lost;
      std::string_view job;
      resources amount;
    };
    std::vector<victim_candidate> candidates;
    for (const auto& [job, amount] : worker.jobs) {
      const auto known = running_.find(job);
      const allocation* held = view.machines.FindAllocation(job);
      if (known == running_.end() || !held->borrowing || chosen.contains(job)) continue;
      const millis checkpoint = CheckpointOf(view, *known->second);
      const bool saves = checkpoint > millis(0) && checkpoint <= longest;
      const millis lost = saves ? millis(0) : UnsavedWork(view, *known->second);
      candidates.push_back({saves ? checkpoint : millis(0), lost, job, amount});
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
      return std::tie(a.lost, a.vacate, a.job) < std::tie(b.lost, b.vacate, b.job);
    });
    for (const auto& victim : candidates) {
      if (member.amount.Fits(free)) break;
      free += victim.amount;
      chosen.insert(std::string(victim.job));
      evictions.push_back(
          {std::string(victim.job), victim.vacate, running_.find(victim.job)->second->epoch});
    }
    if (!member.amount.Fits(free)) return false;
  }
  return true;
}

millis job_scheduler::ExpectedEnd(const schedule_view& view, const job_row& row) {
  const millis estimate = view.estimator.Estimate(row.spec) - millis(row.saved_ms);
  const millis started(row.started_ms);
  const millis ran = view.wall_now - started;
  if (ran < estimate) return started + estimate;
  return view.wall_now + ran / 2;  // Past its estimate: assumes that it runs half as long again.
}

void job_scheduler::ReservePlace(const schedule_view& view, const job_row& row) {
  struct ending {
    millis at;
    const job_row* job;
  };
  std::vector<ending> endings;
  for (const job_row* other : view.running) {
    endings.push_back({ExpectedEnd(view, *other), other});
  }
  std::sort(endings.begin(), endings.end(),
            [](const ending& a, const ending& b) { return a.at < b.at; });
  // Includes all usable workers, also those without free capacity now.
  available_.clear();
  std::map<std::string_view, size_t> index;
  for (const auto& place : candidates_) {
    const worker_state& worker = *place.worker;
    index[worker.id] = available_.size();
    available_.push_back(
        {worker.id, worker.rack, worker.domain, worker.region, worker.free(), worker.capacity, 0});
  }
  const size_t step = std::max<size_t>(1, endings.size() / kReservationProbes);
  for (size_t i = 0; i < endings.size(); ++i) {
    for (const auto& member : endings[i].job->members) {
      const auto found = index.find(member.agent);
      if (found != index.end()) available_[found->second].available += member.amount;
    }
    const bool probe = (i + 1) % step == 0 || i + 1 == endings.size();
    if (!probe || !placement_->Place(ShapeOf(row.spec), available_, parts_)) continue;
    reservation_.emplace();
    reservation_->until = endings[i].at;
    for (const auto& part : parts_) {
      reservation_->amounts[std::string(available_[part.worker].worker)] =
          row.spec.per_task * part.tasks;
    }
    return;
  }
}

}  // namespace eelgrass
