#include "kernel/batch/start_planner.h"

#include <algorithm>
#include <limits>

#include "kernel/batch/advice_desk.h"

namespace eelgrass {
namespace {

/** A start is only ordered with this much of the worker's lease left: the order's way and a retry.
 */
constexpr millis kLeastLease{1000};

/** A worker that was not heard of for this long gets no new starts; it reports every second. */
constexpr millis kFreshReport{1600};

/** Estimates are off by a fifth and a notice is the least time: a run that lacks less goes on. */
constexpr int64_t kNoticeDoubt = 4;

/** What a slow worker takes longer than others, as a share of the work. */
constexpr double kSlowShare = 0.3;

/**
 * Stopping urgent work counts this many times: it is short, its callers wait for it, and it would
 * stop less urgent work in its turn.
 */
constexpr double kUrgentLoss = 8;

/** How many times a unit's estimate it may wait for the rack of its data or for a single rack. */
constexpr int64_t kRackPatience = 2;

/** Room is only kept free while less than one part in this many of a service's capacity is free. */
constexpr double kBusyShare = 2;

bool IsUrgent(const batch_queue& queue) { return queue.priority == 0; }

/** The queue of a job; nullptr when either is not known. */
const batch_queue* QueueOf(const tracked_job* job, const planning_view& view) {
  return job == nullptr ? nullptr : view.config.FindQueueByName(job->job.queue);
}

}  // namespace

millis LongestChain(const batch_job& job) {
  std::vector<millis> ends;
  millis longest{0};
  for (const auto& step : job.steps) {
    millis begin{0};
    for (int earlier : step.after) begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

millis Objective(const tracked_job& job, const batch_queue& queue) {
  const auto chain = static_cast<double>(LongestChain(job.job).count());
  return millis(static_cast<int64_t>(queue.stretch * chain)) + queue.target_latency;
}

start_planner::start_planner(const unit_order& order) : order_(order) {}

start_plan start_planner::Plan(const planning_view& view) {
  ReadRooms(view);
  ReadGuarantees(view);
  preempted_.clear();
  costs_.clear();
  start_plan plan;
  LeaveInTime(view, plan);
  std::set<std::pair<std::string, int>> full;  // steps of which nothing more fits
  const std::vector<candidate> ready = Ready(view);
  KeepHeadroom(ready, view);
  for (const auto& unit : ready) {
    const std::pair<std::string, int> shape{unit.unit.job, unit.unit.step};
    if (full.contains(shape)) continue;
    auto place = Place(unit, view);
    if (!place && MayMakeRoom(unit, view)) place = Preempt(unit, view, plan);
    if (!place) {
      full.insert(shape);
      continue;
    }
    Take(unit, *place, view, plan);
  }
  return plan;
}

bool start_planner::Usable(const pool_worker& worker, const planning_view& view) {
  return worker.linked && worker.listing && worker.recorded && !worker.profile.draining &&
         view.now >= worker.avoid_until && view.now - worker.reported < kFreshReport &&
         worker.lease_end - view.now > kLeastLease &&
         !view.evacuated.contains(worker.profile.domain);
}

void start_planner::ReadRooms(const planning_view& view) {
  rooms_.clear();
  running_.clear();
  for (const auto& [id, worker] : view.pool.all()) {
    for (const auto& [ref, record] : worker.runs) running_[record.unit].push_back(&record);
    if (!Usable(worker, view)) continue;
    room entry;
    entry.worker = &worker;
    entry.pace = view.speeds.Pace(id);
    entry.future = worker.FutureRoom();
    const amounts present = worker.PresentRoom();
    entry.free = {std::min(present.cpu_milli, entry.future.cpu_milli),
                  std::min(present.memory_mb, entry.future.memory_mb),
                  std::min(present.accelerators, entry.future.accelerators)};
    for (const auto& [ref, record] : worker.runs) {
      ++entry.tasks[{record.unit.job, record.unit.occurrence, record.unit.step}];
    }
    rooms_.push_back(std::move(entry));
  }
}

/**
 * An organisation's open jobs of the first priority are guaranteed in the order of their arrival,
 * as long as all of them together need no more than its guarantee.
 */
void start_planner::ReadGuarantees(const planning_view& view) {
  guaranteed_.clear();
  std::map<std::string, std::vector<const tracked_job*>> by_owner;
  for (const auto& id : view.book.open()) {
    const tracked_job* job = view.book.Find(id);
    const batch_queue* queue = view.config.FindQueueByName(job->job.queue);
    if (queue != nullptr && queue->priority == 0) by_owner[job->job.organisation].push_back(job);
  }
  for (auto& [name, jobs] : by_owner) {
    const batch_organisation* owner = view.config.FindOrganisation(name);
    if (owner == nullptr) continue;
    std::stable_sort(jobs.begin(), jobs.end(),
                     [](const auto* a, const auto* b) { return a->accepted < b->accepted; });
    int64_t left = owner->guaranteed_accelerators;
    for (const auto* job : jobs) {
      int64_t need = 0;
      for (const auto& step : job->job.steps) {
        need = std::max(need, step.each.accelerators * step.count);
      }
      left -= need;
      if (left < 0) break;
      guaranteed_.insert(job->job.id);
    }
  }
}

/** Gives up runs that their worker's notice leaves no time for: elsewhere they can begin at once.
 */
void start_planner::LeaveInTime(const planning_view& view, start_plan& plan) const {
  std::set<unit_ref> moved;
  for (const auto& [id, worker] : view.pool.all()) {
    if (worker.leaves_at == millis(0)) continue;
    for (const auto& [ref, record] : worker.runs) {
      const batch_step* step = view.book.StepOf(record.unit);
      if (step == nullptr || step->long_running || record.phase != run_phase::kRunning) continue;
      const millis left = record.began + step->estimate - view.now;
      const millis stay = worker.leaves_at - view.now;
      const bool hopeless = left > stay + stay / kNoticeDoubt;
      if (record.timed && hopeless) moved.insert(record.unit);
    }
  }
  plan.moved.assign(moved.begin(), moved.end());
}

std::vector<start_planner::candidate> start_planner::Ready(const planning_view& view) const {
  std::vector<candidate> ready;
  for (const auto& id : view.book.open()) {
    const tracked_job& job = *view.book.Find(id);
    const batch_queue* queue = view.config.FindQueueByName(job.job.queue);
    if (queue == nullptr || job.job.accepted_term < view.least_term) continue;
    const double rank = order_.Rank(job, *queue, view.now);
    for (size_t k = 0; k < job.occurrences.size(); ++k) {
      for (size_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
        const step_state& step = job.occurrences[k].steps[s];
        if (!step.released) continue;
        for (size_t u = 0; u < step.units.size(); ++u) {
          const unit_state& state = step.units[u];
          if (state.done || state.open_runs > 0 || view.now < state.not_before) continue;
          candidate unit;
          unit.unit = {id, static_cast<int>(k), static_cast<int>(s), static_cast<int>(u)};
          unit.job = &job;
          unit.step = &job.job.steps[s];
          unit.queue = queue;
          unit.state = &state;
          unit.each = RoomOf(*unit.step);
          unit.members = UnitSize(*unit.step);
          unit.rank = rank;
          ready.push_back(unit);
        }
      }
    }
  }
  std::stable_sort(ready.begin(), ready.end(),
                   [](const candidate& a, const candidate& b) { return a.rank < b.rank; });
  return ready;
}

/** Keeps room free for urgent work, by what it has needed at each service lately. */
void start_planner::KeepHeadroom(std::span<const candidate> ready, const planning_view& view) {
  std::map<std::string, service_load> loads;
  for (const auto& entry : rooms_) {
    const worker_profile& profile = entry.worker->profile;
    service_load& load = loads[profile.service];
    load.largest = std::max(load.largest, profile.capacity, [](const amounts& a, const amounts& b) {
      return Weight(a) < Weight(b);
    });
    ++load.workers;
    load.free += 1 - LargestShare(profile.capacity - entry.free, profile.capacity);
  }
  for (const auto& unit : ready) {
    if (!IsUrgent(*unit.queue)) continue;
    service_load& load = loads[unit.queue->service];
    load.urgent += LargestShare(unit.each, load.largest) * unit.members;
  }
  for (const auto& [unit, records] : running_) {
    const batch_queue* queue = QueueOf(view.book.Find(unit.job), view);
    if (queue == nullptr || !IsUrgent(*queue)) continue;
    service_load& load = loads[queue->service];
    for (const auto* record : records) load.urgent += LargestShare(record->each, load.largest);
  }
  for (const auto& [service, load] : loads) {
    urgent_headroom& headroom = headroom_[service];
    headroom.Learn(load.urgent, view.now);
    if (load.free * kBusyShare > load.workers) continue;
    KeepRooms(service, headroom.Kept(load.urgent, load.workers));
  }
}

/** Keeps the emptiest fast workers, rack by rack: urgent gangs want whole ones in one rack. */
void start_planner::KeepRooms(std::string_view service, double workers) {
  std::map<std::string, int64_t> racks;
  std::vector<room*> emptiest;
  for (auto& entry : rooms_) {
    if (entry.worker->profile.service != service) continue;
    if (entry.pace != worker_pace::kUsual) continue;
    racks[entry.worker->profile.rack] += Weight(entry.free);
    emptiest.push_back(&entry);
  }
  std::stable_sort(emptiest.begin(), emptiest.end(), [&](const room* a, const room* b) {
    const auto key = [&](const room* r) {
      const std::string& rack = r->worker->profile.rack;
      return std::tuple(-racks.at(rack), rack, -Weight(r->free));
    };
    return key(a) < key(b);
  });
  for (auto* entry : emptiest) {
    if (workers <= 0) return;
    entry->kept = true;
    const amounts& capacity = entry->worker->profile.capacity;
    workers -= 1 - LargestShare(capacity - entry->free, capacity);
  }
}

/** Whether a unit may use room that is kept for urgent work: it had to stop already, or is pressed
 * for time. */
bool start_planner::Pressed(const candidate& unit, const planning_view& view) {
  if (IsUrgent(*unit.queue) || unit.step->long_running || !unit.state->saved.empty()) return true;
  const millis slack = Objective(*unit.job, *unit.queue) - LongestChain(unit.job->job);
  return unit.job->job.occurrences > 0 || view.now - unit.job->accepted > slack / 2;
}

std::vector<start_planner::room*> start_planner::RoomsFor(const candidate& unit,
                                                          const planning_view& view) {
  const bool pressed = Pressed(unit, view);
  std::vector<room*> fitting;
  for (auto& entry : rooms_) {
    const worker_profile& profile = entry.worker->profile;
    const std::string& label = unit.step->required_label;
    if (profile.service != unit.queue->service) continue;
    if (entry.kept && !pressed) continue;
    if (!label.empty() && !entry.worker->HasLabel(label)) continue;
    if (!unit.each.Fits(profile.capacity)) continue;
    const bool advised = !unit.queue->advice.wanted ||
                         (view.advice != nullptr &&
                          view.advice->Ticket(unit.unit, profile.self, view.now) != nullptr);
    if (!advised) continue;
    fitting.push_back(&entry);
  }
  // A worker on which the unit has failed comes last; then the tightest place first. Urgent work
  // takes the fast workers and leaves the slow ones to work that has time.
  const bool urgent = unit.queue->priority == 0 && !unit.step->long_running;
  const auto pace_rank = [urgent](worker_pace pace) {
    if (pace == worker_pace::kCrawling) return 2;
    return (pace == worker_pace::kSlow) == urgent ? 1 : 0;
  };
  std::stable_sort(fitting.begin(), fitting.end(), [&](const room* a, const room* b) {
    const auto key = [&](const room* r) {
      return std::tuple(unit.state->failed_on.contains(r->worker->profile.self.id),
                        r->worker->profile.cold_ms > 0, pace_rank(r->pace), r->free.accelerators,
                        r->free.cpu_milli);
    };
    return key(a) < key(b);
  });
  return fitting;
}

std::optional<std::vector<start_planner::room*>> start_planner::Place(const candidate& unit,
                                                                      const planning_view& view) {
  std::vector<room*> rooms = RoomsFor(unit, view);
  const bool patient = view.now - unit.state->ready_since < unit.step->estimate * kRackPatience;
  if (!unit.step->data_rack.empty()) {
    std::vector<room*> near;
    for (auto* entry : rooms) {
      if (entry->worker->profile.rack == unit.step->data_rack) near.push_back(entry);
    }
    auto place = PlaceIn(unit, near);
    if (place || (patient && !near.empty())) return place;
  }
  if (unit.step->same_rack && unit.members > 1) {
    auto place = PlaceInOneRack(unit, rooms);
    if (place || (patient && SomeRackHolds(unit, rooms))) return place;
  }
  return PlaceIn(unit, rooms);
}

/** Whether a rack with nothing on it would hold a whole unit: otherwise waiting is pointless. */
bool start_planner::SomeRackHolds(const candidate& unit, std::span<room* const> rooms) {
  std::map<std::string, int64_t> members;  // that fit, by rack
  for (const auto* entry : rooms) {
    int64_t most = unit.members;
    if (unit.step->max_per_worker > 0) most = std::min<int64_t>(most, unit.step->max_per_worker);
    const worker_profile& profile = entry->worker->profile;
    members[profile.rack] += CountFitting(unit.each, profile.capacity, most);
  }
  return std::any_of(members.begin(), members.end(),
                     [&](const auto& rack) { return rack.second >= unit.members; });
}

std::optional<std::vector<start_planner::room*>> start_planner::PlaceInOneRack(
    const candidate& unit, std::span<room* const> rooms) {
  std::map<std::string, std::vector<room*>> racks;
  for (auto* entry : rooms) racks[entry->worker->profile.rack].push_back(entry);
  std::optional<std::vector<room*>> best;
  std::pair<worker_pace, int64_t> least{worker_pace::kCrawling,
                                        std::numeric_limits<int64_t>::max()};
  for (const auto& [rack, members] : racks) {
    auto place = PlaceIn(unit, members);
    if (!place) continue;
    std::pair<worker_pace, int64_t> badness{worker_pace::kUsual, 0};
    for (const auto* entry : *place) badness.first = std::max(badness.first, entry->pace);
    for (const auto* entry : members) badness.second += entry->free.accelerators;
    if (badness >= least) continue;
    least = badness;
    best = std::move(place);
  }
  return best;
}

std::optional<std::vector<start_planner::room*>> start_planner::PlaceIn(
    const candidate& unit, std::span<room* const> rooms) {
  std::vector<room*> place;
  const std::tuple<std::string, int, int> step{unit.unit.job, unit.unit.occurrence, unit.unit.step};
  for (auto* entry : rooms) {
    const int missing = unit.members - static_cast<int>(place.size());
    if (missing == 0) break;
    int64_t most = missing;
    if (unit.step->max_per_worker > 0) {
      const auto found = entry->tasks.find(step);
      const int there = found == entry->tasks.end() ? 0 : found->second;
      most = std::min<int64_t>(most, std::max(0, unit.step->max_per_worker - there));
    }
    const int64_t count = CountFitting(unit.each, entry->free, most);
    place.insert(place.end(), static_cast<size_t>(count), entry);
  }
  if (static_cast<int>(place.size()) < unit.members) return std::nullopt;
  return place;
}

void start_planner::Take(const candidate& unit, std::span<room* const> rooms,
                         const planning_view& view, start_plan& plan) {
  unit_start start{unit.unit, {}, {}};
  for (auto* entry : rooms) {
    entry->free -= unit.each;
    entry->future -= unit.each;
    ++entry->tasks[{unit.unit.job, unit.unit.occurrence, unit.unit.step}];
    start.workers.push_back(entry->worker->profile.self.id);
    const std::string* ticket =
        view.advice == nullptr
            ? nullptr
            : view.advice->Ticket(unit.unit, entry->worker->profile.self, view.now);
    start.tickets.push_back(ticket == nullptr ? std::string() : *ticket);
  }
  plan.starts.push_back(std::move(start));
}

bool start_planner::Stopping(const run_record& record) const {
  return record.phase == run_phase::kStopping || preempted_.contains(record.unit);
}

/** Whether others may be stopped for it: it is guaranteed, or urgent and can still be in time. */
bool start_planner::MayMakeRoom(const candidate& unit, const planning_view& view) const {
  if (guaranteed_.contains(unit.unit.job)) return true;
  if (unit.queue->priority != 0 || unit.step->long_running) return false;
  const millis objective = Objective(*unit.job, *unit.queue);
  return view.now + unit.step->estimate < unit.job->accepted + objective * kLateFactor;
}

bool start_planner::IsLessUrgent(const unit_ref& victim, const candidate& by,
                                 const planning_view& view) {
  const batch_queue* queue = QueueOf(view.book.Find(victim.job), view);
  return queue != nullptr && queue->priority > by.queue->priority;
}

bool start_planner::MayPreempt(const unit_ref& victim, const candidate& by,
                               const planning_view& view) const {
  if (victim.job == by.unit.job || guaranteed_.contains(victim.job)) return false;
  if (!guaranteed_.contains(by.unit.job) && !IsLessUrgent(victim, by, view)) return false;
  const batch_step* step = view.book.StepOf(victim);
  if (step == nullptr || !step->long_running) return step != nullptr;
  // Of tasks that last only so many may be away at once.
  int away = 0;
  for (int unit = 0; unit < (step->gang ? 1 : step->count); ++unit) {
    const unit_ref fellow{victim.job, victim.occurrence, victim.step, unit};
    if (!AtWork(fellow)) ++away;
  }
  return away < step->may_miss;
}

bool start_planner::AtWork(const unit_ref& unit) const {
  const auto found = running_.find(unit);
  return found != running_.end() &&
         std::any_of(found->second.begin(), found->second.end(), [this](const auto* record) {
           return record->phase == run_phase::kRunning && !Stopping(*record);
         });
}

/** All the work of a unit, in thousandths of a core times milliseconds. */
double start_planner::WorkOf(const batch_step& step) {
  return static_cast<double>(Weight(step.each) * UnitSize(step) * step.estimate.count());
}

/**
 * What it costs to stop a unit now: the work that is lost, and all of its work if its job can no
 * longer be in time after that. In thousandths of a core times milliseconds.
 */
double start_planner::CostOf(const unit_ref& unit, const planning_view& view) {
  const auto known = costs_.find(unit);
  if (known != costs_.end()) return known->second;
  return costs_.emplace(unit, NewCostOf(unit, view)).first->second;
}

double start_planner::NewCostOf(const unit_ref& unit, const planning_view& view) const {
  const double loss = LossOf(unit, view);
  const tracked_job* job = view.book.Find(unit.job);
  const batch_step* step = view.book.StepOf(unit);
  const batch_queue* queue = QueueOf(job, view);
  if (queue == nullptr || step == nullptr || job->job.occurrences > 0) return loss;
  const millis until = job->accepted + Objective(*job, *queue);
  const bool was_in_time = view.now < until;
  const bool late_then = view.now + step->estimate > until;
  if (IsUrgent(*queue)) return (loss + WorkOf(*step)) * kUrgentLoss;
  return was_in_time && late_then ? loss + WorkOf(*step) : loss;
}

/** Work that is lost when a unit is stopped now, in thousandths of a core times milliseconds. */
double start_planner::LossOf(const unit_ref& unit, const planning_view& view) const {
  const auto found = running_.find(unit);
  const batch_step* step = view.book.StepOf(unit);
  if (found == running_.end() || step == nullptr) return 0;
  double loss = 0;
  for (const auto* record : found->second) {
    if (record->phase != run_phase::kRunning) continue;
    // A run that saves its progress does so once more when it is stopped.
    const millis since = step->checkpoints ? view.now : record->began;
    loss += static_cast<double>((view.now - since).count() * Weight(step->each));
    loss += static_cast<double>(Weight(step->each));
  }
  return loss;
}

/** The loss of making room for one more member at a worker; infinite when it cannot be made. */
double start_planner::CostOfMember(const candidate& unit, const room& target,
                                   const planning_view& view, const std::set<unit_ref>& chosen,
                                   std::set<unit_ref>& victims) {
  amounts free = target.future;
  for (const auto& [ref, record] : target.worker->runs) {
    if (!Stopping(record) && chosen.contains(record.unit)) free += record.each;
  }
  if (unit.each.Fits(free)) return 0;
  std::vector<std::pair<double, const run_record*>> choices;
  for (const auto& [ref, record] : target.worker->runs) {
    if (Stopping(record) || chosen.contains(record.unit)) continue;
    if (!MayPreempt(record.unit, unit, view)) continue;
    const auto gain = static_cast<double>(std::max<int64_t>(1, Weight(record.each)));
    choices.emplace_back(CostOf(record.unit, view) / gain, &record);
  }
  std::sort(choices.begin(), choices.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  double cost = 0;
  for (const auto& [loss, record] : choices) {
    if (unit.each.Fits(free)) break;
    if (!victims.contains(record->unit)) cost += CostOf(record->unit, view);
    victims.insert(record->unit);
    free += record->each;
  }
  return unit.each.Fits(free) ? cost : std::numeric_limits<double>::infinity();
}

/** What a worker's pace costs a unit: one slow member slows the whole gang. */
double start_planner::SlowCost(const candidate& unit, const room& target,
                               std::span<room* const> place) const {
  const auto slow = [](const room* entry) { return entry->pace != worker_pace::kUsual; };
  if (!slow(&target) || std::any_of(place.begin(), place.end(), slow)) return 0;
  return kSlowShare * WorkOf(*unit.step);
}

std::optional<std::vector<start_planner::room*>> start_planner::Preempt(const candidate& unit,
                                                                        const planning_view& view,
                                                                        start_plan& plan) {
  std::map<std::string, std::vector<room*>> groups;
  for (auto* entry : RoomsFor(unit, view)) {
    const bool one_rack = unit.step->same_rack && unit.members > 1;
    groups[one_rack ? entry->worker->profile.rack : std::string()].push_back(entry);
  }
  std::optional<std::vector<room*>> best;
  std::set<unit_ref> best_victims;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [rack, rooms] : groups) {
    std::vector<room*> place;
    std::set<unit_ref> victims;
    std::vector<room> saved;
    for (auto* entry : rooms) saved.push_back(*entry);
    double cost = 0;
    double slow_cost = 0;
    // Urgent work beyond the guarantee may cost others no more than it is itself.
    const double most = guaranteed_.contains(unit.unit.job)
                            ? std::numeric_limits<double>::infinity()
                            : WorkOf(*unit.step);
    for (int member = 0; member < unit.members; ++member) {
      room* cheapest = nullptr;
      std::set<unit_ref> cheapest_victims;
      double least = std::numeric_limits<double>::infinity();
      double least_price = 0;
      for (auto* entry : rooms) {
        std::set<unit_ref> more;
        const double price = CostOfMember(unit, *entry, view, victims, more);
        const double badness = price + SlowCost(unit, *entry, place);
        if (badness >= least) continue;
        least = badness;
        least_price = price;
        cheapest = entry;
        cheapest_victims = std::move(more);
      }
      if (cheapest == nullptr) break;
      victims.merge(cheapest_victims);
      cost += least_price;
      slow_cost += SlowCost(unit, *cheapest, place);
      cheapest->future -= unit.each;
      place.push_back(cheapest);
    }
    for (size_t i = 0; i < rooms.size(); ++i) *rooms[i] = saved[i];
    if (static_cast<int>(place.size()) < unit.members || cost > most) continue;
    if (cost + slow_cost >= best_cost) continue;
    best_cost = cost + slow_cost;
    best = std::move(place);
    best_victims = std::move(victims);
  }
  if (!best) return std::nullopt;
  for (auto& entry : rooms_) {
    for (const auto& [ref, record] : entry.worker->runs) {
      if (!Stopping(record) && best_victims.contains(record.unit)) entry.future += record.each;
    }
  }
  preempted_.insert(best_victims.begin(), best_victims.end());
  plan.preempted.insert(plan.preempted.end(), best_victims.begin(), best_victims.end());
  return best;
}

}  // namespace eelgrass
