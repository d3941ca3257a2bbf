#include "kernel/placement/availability.h"

#include <algorithm>
#include <string>

#include "kernel/learning/run_forecast.h"

namespace eelgrass {

/** When all members of a running unit are predicted to have ended. */
millis availability::EndOf(const unit_ref& unit, const planning_view& view) {
  const auto known = ends_.find(unit);
  if (known != ends_.end()) return known->second;
  millis end = kFarFuture;
  const tracked_job* job = view.jobs.Find(unit.job);
  const batch_step* step = view.jobs.StepOf(unit);
  if (job != nullptr && step != nullptr && !step->long_running) {
    end = view.now;
    for (const auto* record : capacity_.RunsOf(unit)) {
      const millis rest = PredictRest(*record, *job, *step, view.now);
      end = std::max(end, view.now + rest);
    }
  }
  return ends_.emplace(unit, end).first->second;
}

/** Adds the times at which a worker has room for one more member, up to the members' number. */
void availability::AddOpenings(const ready_unit& unit, candidate_worker& worker,
                               const planning_view& view, millis horizon,
                               std::vector<opening>& openings) {
  int64_t most = unit.members;
  if (unit.step->max_per_worker > 0) most = std::min<int64_t>(most, unit.step->max_per_worker);
  std::vector<std::pair<millis, amounts>> releases;
  for (const auto& [ref, record] : worker.worker->runs) {
    if (preemption_.Stopping(record)) continue;
    const millis end = EndOf(record.unit, view);
    if (end > horizon) continue;
    releases.emplace_back(end, record.each);
  }
  std::sort(releases.begin(), releases.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  amounts room = worker.future;
  int64_t fitting = CountFitting(unit.each, room, most);
  for (int64_t i = 0; i < fitting; ++i) openings.push_back({view.now, &worker});
  for (const auto& [at, each] : releases) {
    if (fitting >= most) return;
    room += each;
    const int64_t more = CountFitting(unit.each, room, most) - fitting;
    for (int64_t i = 0; i < more; ++i) openings.push_back({at, &worker});
    fitting += more;
  }
}

amounts availability::RoomAt(const candidate_worker& worker, const planning_view& view, millis at) {
  amounts room = worker.future;
  for (const auto& [ref, record] : worker.worker->runs) {
    if (preemption_.Stopping(record)) continue;
    if (EndOf(record.unit, view) <= at) room += record.each;
  }
  return room;
}

std::optional<future_place> availability::Earliest(const ready_unit& unit,
                                                   std::span<candidate_worker* const> candidates,
                                                   const planning_view& view, millis horizon,
                                                   bool one_rack) {
  std::map<std::string_view, std::vector<opening>> groups;
  for (auto* candidate : candidates) {
    if (candidate->hold) continue;
    auto& openings = groups[one_rack ? candidate->worker->profile.rack : std::string_view()];
    AddOpenings(unit, *candidate, view, horizon, openings);
  }
  std::optional<future_place> earliest;
  const auto members = static_cast<size_t>(unit.members);
  for (auto& [rack, openings] : groups) {
    if (openings.size() < members) continue;
    std::stable_sort(openings.begin(), openings.end(),
                     [](const opening& a, const opening& b) { return a.at < b.at; });
    const millis at = openings[members - 1].at;
    if (earliest && earliest->at <= at) continue;
    earliest = future_place{at, {}};
    for (size_t i = 0; i < members; ++i) earliest->workers.push_back(openings[i].worker);
  }
  return earliest;
}

}  // namespace eelgrass
