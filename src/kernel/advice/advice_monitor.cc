#include "kernel/advice/advice_monitor.h"

#include <algorithm>
#include <utility>

#include "kernel/base/log_event.h"

namespace eelgrass {

bool advice_monitor::Attainable(const advice_wish& wish, const batch_queue& queue) const {
  return !wish.insufficient && TicketsAttainable(queue.advice, wish.place.size());
}

std::vector<const advice_wish*> advice_monitor::Observe(std::span<const advice_wish> wishes,
                                                        const advice_turns& turns,
                                                        const planning_view& view) {
  std::vector<const advice_wish*> attainable;
  std::set<std::string> unattainable;
  stats_.waiting = 0;
  stats_.longest_wait = millis(0);
  for (const auto& wish : wishes) {
    const batch_queue* queue = view.QueueOf(view.jobs.Find(wish.unit.job));
    if (queue == nullptr) continue;
    if (Attainable(wish, *queue)) {
      attainable.push_back(&wish);
      if (!wish.CouldStart()) continue;
      ++stats_.waiting;
      stats_.longest_wait = std::max(stats_.longest_wait, view.now - turns.WaitsSince(wish));
      continue;
    }
    const std::string step = StepName(wish.unit);
    unattainable.insert(step);
    if (reported_.contains(step)) continue;
    log_event("tickets-unattainable", log_level::kWarning)
        .With("step", step)
        .With("queue", queue->name)
        .With("reason", wish.insufficient ? "too few allowed workers are there"
                                          : "the first tickets expire during the calls for others")
        .With("workers", static_cast<int64_t>(wish.place.size()))
        .With("valid_ms", queue->advice.valid.count());
  }
  reported_ = std::move(unattainable);
  stats_.unattainable = static_cast<int64_t>(reported_.size());
  return attainable;
}

void advice_monitor::Reset() {
  reported_.clear();
  const int64_t failed_calls = stats_.failed_calls;
  stats_ = {};
  stats_.failed_calls = failed_calls;
}

}  // namespace eelgrass
