#include "kernel/batch/ticket_cache.h"

#include <algorithm>

#include "kernel/base/log_event.h"
#include "kernel/batch/capacity_map.h"

namespace eelgrass {
namespace {

/** Maximum workers per call: the duration of a call grows with each. */
constexpr size_t kMaxWorkersPerRequest = 12;

/** A ticket is not used this close to its expiry: allows for delivery and clock differences. */
constexpr millis kTicketMargin{300};

/** Time before a ticket is requested again for a worker that may not run the step. */
constexpr millis kRefusalLifetime{60000};

/** Pause after a call that failed or was rejected. */
constexpr millis kRetryPause{200};

std::string StepName(const unit_ref& unit) {
  return unit.job + "." + std::to_string(unit.occurrence) + "." + std::to_string(unit.step);
}

}  // namespace

const std::string* ticket_cache::Ticket(const unit_ref& unit, const worker_identity& worker,
                                        millis now) const {
  const auto step = tickets_.find(StepName(unit));
  if (step == tickets_.end()) return nullptr;
  const auto found = step->second.find(worker.id);
  if (found == step->second.end()) return nullptr;
  const ticket& known = found->second;
  const bool good =
      !known.text.empty() && known.born_ms == worker.born_ms && now < known.good_until;
  return good ? &known.text : nullptr;
}

bool ticket_cache::HasValidEntry(const step_key& step, const worker_identity& worker,
                                 millis now) const {
  const auto known = tickets_.find(step);
  if (known == tickets_.end()) return false;
  const auto found = known->second.find(worker.id);
  return found != known->second.end() && found->second.born_ms == worker.born_ms &&
         now < found->second.good_until;
}

std::optional<advice_request> ticket_cache::Next(const planning_view& view) {
  if (asking_ || view.now < next_) return std::nullopt;
  for (const auto& id : view.jobs.open()) {
    const tracked_job& job = *view.jobs.Find(id);
    const batch_queue* queue = view.config.FindQueueByName(job.job.queue);
    if (queue == nullptr || !queue->advice.wanted) continue;
    for (size_t k = 0; k < job.occurrences.size(); ++k) {
      for (size_t s = 0; s < job.occurrences[k].steps.size(); ++s) {
        const step_state& step = job.occurrences[k].steps[s];
        const bool waits = step.released &&
                           std::any_of(step.units.begin(), step.units.end(), [](const auto& unit) {
                             return !unit.done && unit.open_runs == 0;
                           });
        if (!waits) continue;
        advice_request request;
        request.step = StepName({id, static_cast<int>(k), static_cast<int>(s), 0});
        asked_start_.clear();
        for (const auto& [name, worker] : view.pool.all()) {
          const worker_profile& profile = worker.profile;
          const std::string& label = job.job.steps[s].required_label;
          if (profile.service != queue->service || !capacity_map::Usable(worker, view)) continue;
          if (!label.empty() && !worker.HasLabel(label)) continue;
          if (HasValidEntry(request.step, profile.self, view.now)) continue;
          if (request.workers.size() == kMaxWorkersPerRequest) break;
          request.workers.push_back(name);
          asked_start_[name] = profile.self.born_ms;
        }
        if (request.workers.empty()) continue;
        const auto named = static_cast<int64_t>(request.workers.size());
        request.expected = queue->advice.decide + queue->advice.per_worker * named;
        asking_ = true;
        return request;
      }
    }
  }
  return std::nullopt;
}

void ticket_cache::On(const advice_reply& reply, millis now) {
  asking_ = false;
  if (!reply.answered) {
    next_ = now + kRetryPause;
    return;
  }
  auto& known = tickets_[reply.step];
  for (const auto& worker : reply.asked) {
    const auto start = asked_start_.find(worker);
    if (start == asked_start_.end()) continue;
    known[worker] = {"", start->second, now + kRefusalLifetime};
  }
  for (const auto& [worker, text] : reply.tickets) {
    const auto found = known.find(worker);
    if (found == known.end()) continue;
    found->second.text = text;
    found->second.good_until = now + reply.valid - kTicketMargin;
  }
  log_event("advice")
      .With("step", reply.step)
      .With("asked", static_cast<int64_t>(reply.asked.size()))
      .With("good", static_cast<int64_t>(reply.tickets.size()))
      .With("valid_ms", reply.valid.count());
}

void ticket_cache::Reset() {
  tickets_.clear();
  asking_ = false;
  next_ = millis(0);
}

}  // namespace eelgrass
