#include "kernel/stragglers/straggler_control.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {

std::vector<unit_ref> straggler_control::Decide(std::span<const run_outcome> outcomes,
                                                const planning_view& view, worker_pool& pool) {
  quarantine_.Observe(outcomes, pool, view.now);
  // Jobs of earlier terms could not start again yet.
  if (view.least_term > 0) return {};
  std::vector<unit_ref> stops;
  for (const auto& stalled : stalls_.Find(view)) {
    bool kept_away = true;
    for (const auto& worker : stalled.accused) {
      kept_away = quarantine_.OnStall(worker, pool, view.now) && kept_away;
    }
    const bool moves = kept_away && stalled.gain > millis(0);
    if (moves || stalled.first_seen) {
      log_event("run-stalled")
          .With("job", stalled.unit.job)
          .With("step", stalled.unit.step)
          .With("unit", stalled.unit.unit)
          .With("run", stalled.run)
          .With("worker", stalled.workers.front())
          .With("workers", static_cast<int64_t>(stalled.workers.size()))
          .With("percent", stalled.percent)
          .With("stalled_ms", stalled.stalled.count())
          .With("listed_ago_ms", stalled.listed_ago.count())
          .With("gain_ms", stalled.gain.count())
          .With("kept_away", kept_away ? 1 : 0)
          .With("moves", moves ? 1 : 0);
    }
    if (!moves) continue;
    stalls_.OnMoved(stalled.unit);
    ++moved_;
    stops.push_back(stalled.unit);
  }
  return stops;
}

int64_t CountQuarantined(const worker_pool& pool, millis now) {
  return std::count_if(pool.all().begin(), pool.all().end(),
                       [now](const auto& entry) { return entry.second.quarantine.Active(now); });
}

}  // namespace eelgrass
