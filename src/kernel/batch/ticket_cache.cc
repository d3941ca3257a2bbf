#include "kernel/batch/ticket_cache.h"

#include <algorithm>
#include <cmath>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Maximum workers per call, by the interface of the service. */
constexpr size_t kMaxWorkersPerCall = 100;

/** The first call of a turn names at least this many workers if there are as many. */
constexpr size_t kUsualWorkersPerCall = 12;

/** Calls in one turn beyond those that a unit needs if no worker is refused and no call fails. */
constexpr int kSpareCalls = 3;

/** A ticket is not used this close to its expiry: allows for delivery and clock differences. */
constexpr millis kTicketMargin{300};

/** The margin is at most one part in this many of a ticket's validity. */
constexpr int64_t kMarginDivisor = 4;

/** Time before a ticket is requested again for a worker that may not run the step. */
constexpr millis kRefusalLifetime{60000};

/** Pause after a call that failed or was rejected. */
constexpr millis kRetryPause{200};

std::string StepName(const unit_ref& unit) {
  return unit.job + "." + std::to_string(unit.occurrence) + "." + std::to_string(unit.step);
}

size_t CallsFor(size_t workers) { return (workers + kMaxWorkersPerCall - 1) / kMaxWorkersPerCall; }

/** Duration of all the calls that it takes to name so many workers. */
millis CallTime(const advice_policy& policy, size_t workers) {
  return policy.decide * static_cast<int64_t>(CallsFor(workers)) +
         policy.per_worker * static_cast<int64_t>(workers);
}

/** For how long a ticket is used after its answer. */
millis UsableTime(millis valid) { return valid - std::min(kTicketMargin, valid / kMarginDivisor); }

bool CouldStart(const advice_wish& wish) { return !wish.place.empty(); }

bool Contains(std::span<const std::string> workers, std::string_view worker) {
  return std::find(workers.begin(), workers.end(), worker) != workers.end();
}

}  // namespace

const ticket_cache::advised_step* ticket_cache::FindStep(const unit_ref& unit) const {
  const auto step = steps_.find(StepName(unit));
  return step == steps_.end() ? nullptr : &step->second;
}

const ticket_cache::ticket* ticket_cache::Find(const unit_ref& unit, const worker_identity& worker,
                                               millis now) const {
  const advised_step* step = FindStep(unit);
  if (step == nullptr) return nullptr;
  const auto found = step->tickets.find(worker.id);
  if (found == step->tickets.end()) return nullptr;
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

bool ticket_cache::Allowed(const unit_ref& unit, const worker_identity& worker) const {
  const advised_step* step = FindStep(unit);
  if (step == nullptr) return false;
  const auto found = step->tickets.find(worker.id);
  return found != step->tickets.end() && found->second.born_ms == worker.born_ms &&
         !found->second.text.empty();
}

millis ticket_cache::AnswerIn(millis now) const {
  return pending_ ? std::max(millis(0), pending_->expected_end - now) : millis(0);
}

/** Since when a step waits for a turn. */
millis ticket_cache::WaitsSince(const advice_wish& wish) const {
  const advised_step* step = FindStep(wish.unit);
  return step == nullptr ? wish.ready_since : std::max(wish.ready_since, step->served);
}

/** The smallest is asked for first; equal ones in the order of the units. */
std::pair<int, millis> ticket_cache::Rank(const advice_wish& wish) const {
  const advised_step* step = FindStep(wish.unit);
  const bool new_step = step == nullptr || !step->asked;
  constexpr int kHoldsRoom = 0;
  constexpr int kNew = 1;
  constexpr int kHasRoom = 2;
  constexpr int kMayPreempt = 3;
  constexpr int kWaitsForRoom = 4;
  int group = kWaitsForRoom;
  if (wish.may_preempt) group = kMayPreempt;
  if (wish.has_room) group = kHasRoom;
  if (new_step && (wish.has_room || wish.may_preempt)) group = kNew;
  if (wish.holds_room) group = kHoldsRoom;
  return {group, step == nullptr ? advised_step{}.served : step->served};
}

bool ticket_cache::Attainable(size_t workers, const advice_policy& policy) {
  if (workers <= kMaxWorkersPerCall || policy.valid == millis(0)) return true;
  return CallTime(policy, workers - kMaxWorkersPerCall) < UsableTime(policy.valid);
}

/** The wishes that may get a turn. Counts and logs the others. */
std::vector<const advice_wish*> ticket_cache::Eligible(std::span<const advice_wish> wishes,
                                                       const planning_view& view) {
  std::vector<const advice_wish*> eligible;
  std::set<step_key> unattainable;
  stats_.waiting = 0;
  stats_.longest_wait = millis(0);
  for (const auto& wish : wishes) {
    const batch_queue* queue = view.QueueOf(view.jobs.Find(wish.unit.job));
    if (queue == nullptr) continue;
    if (!wish.insufficient && Attainable(wish.place.size(), queue->advice)) {
      eligible.push_back(&wish);
      if (!CouldStart(wish)) continue;
      ++stats_.waiting;
      stats_.longest_wait = std::max(stats_.longest_wait, view.now - WaitsSince(wish));
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
  return eligible;
}

/** The wish that gets the next turn; nullptr if there is none. */
const advice_wish* ticket_cache::Choose(std::span<const advice_wish* const> wishes) const {
  const advice_wish* chosen = nullptr;
  if (turns_ % 2 == 1) {
    for (const auto* wish : wishes) {
      if (!CouldStart(*wish)) continue;
      if (chosen == nullptr || WaitsSince(*wish) < WaitsSince(*chosen)) chosen = wish;
    }
  }
  if (chosen != nullptr) return chosen;
  const auto first =
      std::min_element(wishes.begin(), wishes.end(),
                       [this](const auto* a, const auto* b) { return Rank(*a) < Rank(*b); });
  return first == wishes.end() ? nullptr : *first;
}

void ticket_cache::EndTurn(std::string_view reason, millis now) {
  advised_step& step = steps_[StepName(turn_->unit)];
  step.job = turn_->unit.job;
  step.served = now;
  if (turn_->could_start) {
    log_event("advice-turn-ended")
        .With("step", StepName(turn_->unit))
        .With("reason", reason)
        .With("calls", turn_->calls)
        .With("took_ms", (now - turn_->since).count());
  }
  turn_.reset();
}

/** The wish of the unit that has the turn; nullptr once its turn is over. */
const advice_wish* ticket_cache::KeepTurn(std::span<const advice_wish* const> wishes, millis now) {
  if (!turn_) return nullptr;
  const auto wish = std::find_if(wishes.begin(), wishes.end(),
                                 [this](const auto* w) { return w->unit == turn_->unit; });
  if (wish == wishes.end()) {
    EndTurn("no ticket is missing", now);
  } else if (!CouldStart(**wish)) {
    EndTurn("no room", now);
  } else if (turn_->calls >= turn_->most_calls) {
    EndTurn("its calls are used up", now);
  } else {
    return *wish;
  }
  return nullptr;
}

/** The workers of a unit's place that have no ticket that is valid until then. */
std::vector<std::string> ticket_cache::Expiring(const advice_wish& wish, const planning_view& view,
                                                millis until) const {
  std::vector<std::string> expiring;
  for (const auto& id : wish.place) {
    const pool_worker* worker = view.pool.Find(id);
    if (worker == nullptr) continue;
    if (Ticket(wish.unit, worker->profile.self, until) == nullptr) expiring.push_back(id);
  }
  return expiring;
}

/** How many workers to name in place of those that will probably be refused. */
size_t ticket_cache::Spare(const advice_wish& wish, const batch_queue& queue,
                           std::span<const std::string> named, const planning_view& view) const {
  size_t unknown = 0;
  for (const auto& id : named) {
    const pool_worker* worker = view.pool.Find(id);
    if (worker != nullptr && !Allowed(wish.unit, worker->profile.self)) ++unknown;
  }
  const auto found = shares_.find(queue.name);
  const policy_share share = found == shares_.end() ? policy_share{} : found->second;
  const double allowed =
      static_cast<double>(share.allowed + 1) / static_cast<double>(share.asked + 1);
  const auto needed =
      static_cast<size_t>(std::ceil(static_cast<double>(unknown) / allowed)) - unknown;
  const bool first_call = turn_->calls == 0 && named.size() < kUsualWorkersPerCall;
  const size_t usual = first_call ? kUsualWorkersPerCall - named.size() : 0;
  return std::min(std::max(needed, usual), wish.workers.size());
}

/**
 * The workers to name in the next call, at most as many as a call may name. A ticket that expires
 * before the answer is renewed with the same call, which makes the call longer in turn.
 */
std::vector<std::string> ticket_cache::WorkersToName(const advice_wish& wish,
                                                     const batch_queue& queue,
                                                     const planning_view& view) const {
  std::vector<std::string> named = Expiring(wish, view, view.now);
  size_t spare = Spare(wish, queue, named, view);
  size_t expected = 0;
  while (named.size() + spare > expected) {
    expected = named.size() + spare;
    named = Expiring(wish, view, view.now + CallTime(queue.advice, expected));
    spare = Spare(wish, queue, named, view);
  }
  for (const auto& id : wish.workers) {
    if (spare == 0) break;
    if (view.pool.Find(id) == nullptr || Contains(named, id)) continue;
    named.push_back(id);
    --spare;
  }
  if (named.size() > kMaxWorkersPerCall) named.resize(kMaxWorkersPerCall);
  return named;
}

std::optional<advice_request> ticket_cache::Next(std::span<const advice_wish> wishes,
                                                 const planning_view& view) {
  const std::vector<const advice_wish*> eligible = Eligible(wishes, view);
  if (pending_ || view.now < next_) return std::nullopt;
  const advice_wish* wish = KeepTurn(eligible, view.now);
  if (wish == nullptr) {
    std::erase_if(steps_,
                  [&](const auto& step) { return !view.jobs.open().contains(step.second.job); });
    wish = Choose(eligible);
    if (wish == nullptr) return std::nullopt;
    ++turns_;
    const auto needed = static_cast<int>(CallsFor(wish->place.size()));
    turn_ = step_turn{wish->unit, CouldStart(*wish), 0, needed + kSpareCalls, view.now};
  }
  const batch_queue& queue = *view.QueueOf(view.jobs.Find(wish->unit.job));
  pending_call call;
  call.workers = WorkersToName(*wish, queue, view);
  ++turn_->calls;
  if (call.workers.empty()) {
    EndTurn("no ticket is missing", view.now);
    return std::nullopt;
  }
  call.step = StepName(wish->unit);
  call.queue = queue.name;
  for (const auto& id : call.workers) call.born[id] = view.pool.Find(id)->profile.self.born_ms;
  const millis expected = CallTime(queue.advice, call.workers.size());
  call.sent = view.now;
  call.expected_end = view.now + expected;
  advised_step& step = steps_[call.step];
  step.job = wish->unit.job;
  step.asked = true;
  pending_ = std::move(call);
  return advice_request{pending_->step, pending_->workers, expected};
}

void ticket_cache::On(const advice_reply& reply, millis now) {
  // A call of an earlier term may be answered after a call of this term was sent.
  if (!pending_ || pending_->step != reply.step || pending_->workers != reply.asked) return;
  const pending_call call = *std::exchange(pending_, std::nullopt);
  if (!reply.answered) {
    next_ = now + kRetryPause;
    ++stats_.failed_calls;
    log_event("advice-failed")
        .With("step", call.step)
        .With("asked", static_cast<int64_t>(call.workers.size()))
        .With("took_ms", (now - call.sent).count());
    return;
  }
  auto& known = steps_[call.step].tickets;
  policy_share& share = shares_[call.queue];
  std::set<std::string, std::less<>> first_asked;
  for (const auto& [worker, born_ms] : call.born) {
    const auto before = known.find(worker);
    if (before == known.end() || before->second.born_ms != born_ms) first_asked.insert(worker);
    known[worker] = {"", born_ms, now + kRefusalLifetime};
  }
  share.asked += static_cast<int64_t>(first_asked.size());
  for (const auto& [worker, text] : reply.tickets) {
    if (!call.born.contains(worker)) continue;
    ticket& allowed = known[worker];
    allowed.text = text;
    allowed.good_until = now + UsableTime(reply.valid);
    if (first_asked.contains(worker)) ++share.allowed;
  }
  log_event("advice")
      .With("step", call.step)
      .With("asked", static_cast<int64_t>(call.workers.size()))
      .With("good", static_cast<int64_t>(reply.tickets.size()))
      .With("valid_ms", reply.valid.count())
      .With("took_ms", (now - call.sent).count())
      .With("call", turn_ ? turn_->calls : 0);
}

void ticket_cache::Discard(const unit_ref& unit, std::string_view worker) {
  const auto step = steps_.find(StepName(unit));
  if (step == steps_.end()) return;
  const auto found = step->second.tickets.find(worker);
  if (found != step->second.tickets.end()) step->second.tickets.erase(found);
}

void ticket_cache::Reset() {
  const int64_t failed_calls = stats_.failed_calls;
  *this = ticket_cache();
  stats_.failed_calls = failed_calls;
}

}  // namespace eelgrass
