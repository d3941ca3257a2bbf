#include "kernel/preemption/preemption_planner.h"

#include <algorithm>
#include <limits>

#include "kernel/batch/unit_order.h"
#include "kernel/learning/run_forecast.h"

namespace eelgrass {
namespace {

/** Assumed extra time on a slow worker, as a share of the work. */
constexpr double kSlowShare = 0.3;

/**
 * Weight of the cost of preempting urgent work: it is short, its callers wait for it, and it would
 * in turn preempt less urgent work.
 */
constexpr double kUrgentLoss = 8;

/** A unit that was preempted this often may be preempted again for guaranteed work only. */
constexpr int kMaxPreemptions = 2;

}  // namespace

preemption_planner::preemption_planner(capacity_map& capacity, const guaranteed_jobs& guaranteed)
    : capacity_(capacity), guaranteed_(guaranteed) {}

void preemption_planner::Begin() {
  preempted_.clear();
  costs_.clear();
}

bool preemption_planner::Stopping(const run_record& record) const {
  return record.phase == run_phase::kStopping || preempted_.contains(record.unit);
}

bool preemption_planner::MayPreemptFor(const ready_unit& unit, const planning_view& view) const {
  if (guaranteed_.Contains(unit.unit.job)) return true;
  if (!IsUrgent(*unit.queue) || unit.step->long_running) return false;
  const millis objective = Objective(*unit.job, *unit.queue);
  return view.now + unit.work < unit.job->accepted + objective * kLateFactor;
}

bool preemption_planner::IsLessUrgent(const unit_ref& victim, const ready_unit& by,
                                      const planning_view& view) {
  const batch_queue* queue = view.QueueOf(view.jobs.Find(victim.job));
  return queue != nullptr && queue->priority > by.queue->priority;
}

bool preemption_planner::MayPreempt(const unit_ref& victim, const ready_unit& by,
                                    const planning_view& view) const {
  if (victim.job == by.unit.job || guaranteed_.Contains(victim.job)) return false;
  if (!guaranteed_.Contains(by.unit.job) && !IsLessUrgent(victim, by, view)) return false;
  const batch_step* step = view.jobs.StepOf(victim);
  const unit_state* state = view.jobs.Find(victim);
  const bool spent = state != nullptr && state->preemptions >= kMaxPreemptions;
  if (spent && !guaranteed_.Contains(by.unit.job)) return false;
  if (step == nullptr || !step->long_running) return step != nullptr;
  // A long-running step limits how many of its units may be stopped at once.
  int away = 0;
  for (int unit = 0; unit < (step->gang ? 1 : step->count); ++unit) {
    const unit_ref other{victim.job, victim.occurrence, victim.step, unit};
    if (!IsUnitRunning(other)) ++away;
  }
  return away < step->may_miss;
}

bool preemption_planner::IsUnitRunning(const unit_ref& unit) const {
  const auto runs = capacity_.RunsOf(unit);
  return std::any_of(runs.begin(), runs.end(), [this](const run_record* record) {
    return record->phase == run_phase::kRunning && !Stopping(*record);
  });
}

/** The total work of a unit, in thousandths of a core times milliseconds. */
double preemption_planner::WorkOf(const tracked_job& job, const batch_step& step) {
  return static_cast<double>(Weight(step.each)) * UnitSize(step) *
         static_cast<double>(ExpectedWork(job, step).count());
}

/**
 * The cost of stopping a unit now: the lost work, plus all of its work if its job would then miss
 * its objective. In thousandths of a core times milliseconds.
 */
double preemption_planner::CostOf(const unit_ref& unit, const planning_view& view) {
  const auto known = costs_.find(unit);
  if (known != costs_.end()) return known->second;
  return costs_.emplace(unit, NewCostOf(unit, view)).first->second;
}

double preemption_planner::NewCostOf(const unit_ref& unit, const planning_view& view) const {
  const double loss = LossOf(unit, view);
  const tracked_job* job = view.jobs.Find(unit.job);
  const batch_step* step = view.jobs.StepOf(unit);
  const batch_queue* queue = view.QueueOf(job);
  if (queue == nullptr || step == nullptr || job->job.occurrences > 0) return loss;
  const millis until = job->accepted + Objective(*job, *queue);
  const bool was_in_time = view.now < until;
  const bool late_then = view.now + ExpectedWork(*job, *step) > until;
  if (IsUrgent(*queue)) return (loss + WorkOf(*job, *step)) * kUrgentLoss;
  return was_in_time && late_then ? loss + WorkOf(*job, *step) : loss;
}

/** Work lost if a unit is stopped now, in thousandths of a core times milliseconds. */
double preemption_planner::LossOf(const unit_ref& unit, const planning_view& view) const {
  const batch_step* step = view.jobs.StepOf(unit);
  if (step == nullptr) return 0;
  double loss = 0;
  for (const auto* record : capacity_.RunsOf(unit)) {
    if (record->phase != run_phase::kRunning) continue;
    // A run with checkpoints writes another one when it is stopped.
    const millis since = step->checkpoints ? view.now : record->began.value_or(view.now);
    loss += static_cast<double>((view.now - since).count() * Weight(step->each));
    loss += static_cast<double>(Weight(step->each));
  }
  return loss;
}

/** Cost of placing one more member on a worker; infinity if that is impossible. */
double preemption_planner::CostOfMember(const ready_unit& unit, const candidate_worker& target,
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

/** Cost of a slow worker for the unit, counted once: one slow member slows the whole gang. */
double preemption_planner::PenaltyOfSlowWorker(const ready_unit& unit,
                                               const candidate_worker& target,
                                               std::span<candidate_worker* const> place) const {
  const auto slow = [](const candidate_worker* candidate) {
    return candidate->pace != worker_pace::kTypical;
  };
  if (!slow(&target) || std::any_of(place.begin(), place.end(), slow)) return 0;
  return kSlowShare * WorkOf(*unit.job, *unit.step);
}

/** Places one more member where that costs least; returns false if no worker can take it. */
bool preemption_planner::AddMember(const ready_unit& unit,
                                   std::span<candidate_worker* const> candidates,
                                   const planning_view& view, option& choice) {
  candidate_worker* cheapest = nullptr;
  std::set<unit_ref> cheapest_victims;
  double least = std::numeric_limits<double>::infinity();
  double least_cost = 0;
  for (auto* candidate : candidates) {
    std::set<unit_ref> more;
    const double cost = CostOfMember(unit, *candidate, view, choice.placement.victims, more);
    const double score = cost + PenaltyOfSlowWorker(unit, *candidate, choice.placement.place);
    if (score >= least) continue;
    least = score;
    least_cost = cost;
    cheapest = candidate;
    cheapest_victims = std::move(more);
  }
  if (cheapest == nullptr) return false;
  choice.placement.victims.merge(cheapest_victims);
  choice.cost += least_cost;
  choice.slow_cost += least - least_cost;
  cheapest->future -= unit.each;
  choice.placement.place.push_back(cheapest);
  return true;
}

std::optional<preemption_planner::option> preemption_planner::PlanWithin(
    const ready_unit& unit, std::span<candidate_worker* const> candidates,
    const planning_view& view) {
  // Urgent work beyond the guarantee may cost others at most its own amount of work.
  const double most = guaranteed_.Contains(unit.unit.job) ? std::numeric_limits<double>::infinity()
                                                          : WorkOf(*unit.job, *unit.step);
  std::vector<amounts> before;
  for (const auto* candidate : candidates) before.push_back(candidate->future);
  option choice;
  bool complete = true;
  for (int member = 0; member < unit.members && complete; ++member) {
    complete = AddMember(unit, candidates, view, choice);
  }
  for (size_t i = 0; i < candidates.size(); ++i) candidates[i]->future = before[i];
  if (!complete || choice.cost > most) return std::nullopt;
  return choice;
}

std::optional<preemption_choice> preemption_planner::Cheapest(
    const ready_unit& unit, std::span<candidate_worker* const> fitting, const planning_view& view) {
  std::map<std::string, std::vector<candidate_worker*>> groups;
  for (auto* candidate : fitting) {
    const bool one_rack = unit.step->same_rack && unit.members > 1;
    groups[one_rack ? candidate->worker->profile.rack : std::string()].push_back(candidate);
  }
  std::optional<option> best;
  for (const auto& [rack, candidates] : groups) {
    auto found = PlanWithin(unit, candidates, view);
    if (!found) continue;
    const bool better = !best || found->cost + found->slow_cost < best->cost + best->slow_cost;
    if (better) best = std::move(found);
  }
  if (!best) return std::nullopt;
  best->placement.lost_work = best->cost;
  return std::move(best->placement);
}

std::optional<preemption_choice> preemption_planner::Plan(
    const ready_unit& unit, std::span<candidate_worker* const> candidates,
    const planning_view& view) {
  auto choice = Cheapest(unit, candidates, view);
  if (!choice) return std::nullopt;
  for (auto& candidate : capacity_.all()) {
    for (const auto& [ref, record] : candidate.worker->runs) {
      const bool victim = choice->victims.contains(record.unit);
      if (victim && !Stopping(record)) candidate.future += record.each;
    }
  }
  preempted_.insert(choice->victims.begin(), choice->victims.end());
  return choice;
}

}  // namespace eelgrass
