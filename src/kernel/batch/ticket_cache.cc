#include "kernel/batch/ticket_cache.h"

#include <algorithm>

#include "kernel/base/log_event.h"

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

const ticket_cache::ticket* ticket_cache::Find(const unit_ref& unit, const worker_identity& worker,
                                               millis now) const {
  const auto step = steps_.find(StepName(unit));
  if (step == steps_.end()) return nullptr;
  const auto found = step->second.tickets.find(worker.id);
  if (found == step->second.tickets.end()) return nullptr;
  const bool valid = found->second.born_ms == worker.born_ms && now < found->second.good_until;
  return valid ? &found->second : nullptr;
}

const std::string* ticket_cache::Ticket(const unit_ref& unit, const worker_identity& worker,
                                        millis now) const {
  const ticket* known = Find(unit, worker, now);
  return known == nullptr || known->text.empty() ? nullptr : &known->text;
}

bool ticket_cache::Refused(const unit_ref& unit, const worker_identity& worker, millis now) const {
  const ticket* known = Find(unit, worker, now);
  return known != nullptr && known->text.empty();
}

/** The smallest is asked for first; equal ones in the order of the units. */
std::pair<int, millis> ticket_cache::TurnOf(const advice_wish& wish) const {
  const auto step = steps_.find(StepName(wish.unit));
  const millis asked = step == steps_.end() ? advised_step{}.asked : step->second.asked;
  const bool new_step = step == steps_.end() && (wish.has_room || wish.may_preempt);
  constexpr int kNew = 0;
  constexpr int kHasRoom = 1;
  constexpr int kMayPreempt = 2;
  constexpr int kWaitsForRoom = 3;
  int group = kWaitsForRoom;
  if (wish.may_preempt) group = kMayPreempt;
  if (wish.has_room) group = kHasRoom;
  if (new_step) group = kNew;
  return {group, asked};
}

std::optional<advice_request> ticket_cache::Next(std::span<const advice_wish> wishes,
                                                 const planning_view& view) {
  if (asking_ || view.now < next_ || wishes.empty()) return std::nullopt;
  const advice_wish& wish =
      *std::min_element(wishes.begin(), wishes.end(),
                        [this](const auto& a, const auto& b) { return TurnOf(a) < TurnOf(b); });
  const batch_queue* queue = view.QueueOf(view.jobs.Find(wish.unit.job));
  if (queue == nullptr) return std::nullopt;
  advice_request request;
  request.step = StepName(wish.unit);
  asked_start_.clear();
  for (const auto& name : wish.workers) {
    const pool_worker* worker = view.pool.Find(name);
    if (worker == nullptr) continue;
    if (request.workers.size() == kMaxWorkersPerRequest) break;
    request.workers.push_back(name);
    asked_start_[name] = worker->profile.self.born_ms;
  }
  if (request.workers.empty()) return std::nullopt;
  const auto named = static_cast<int64_t>(request.workers.size());
  request.expected = queue->advice.decide + queue->advice.per_worker * named;
  steps_[request.step].asked = view.now;
  asking_ = true;
  return request;
}

void ticket_cache::On(const advice_reply& reply, millis now) {
  asking_ = false;
  if (!reply.answered) {
    next_ = now + kRetryPause;
    return;
  }
  auto& known = steps_[reply.step].tickets;
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
  steps_.clear();
  asking_ = false;
  next_ = millis(0);
}

}  // namespace eelgrass
