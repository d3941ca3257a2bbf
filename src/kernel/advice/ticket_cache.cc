#include "kernel/advice/ticket_cache.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** The first call of a turn names at least this many workers if there are as many. */
constexpr size_t kUsualWorkersPerCall = 12;

/** The service is not expected to be slower than its policy says by more than this factor. */
constexpr double kMaxSlowness = 8;

/** A call is late if it takes longer than expected by this. */
constexpr millis kLateAnswer{1000};

/** After so many failed calls in a row the service is not expected to answer the next one. */
constexpr int kFailuresToGiveUp = 2;

/** Pause after a call that failed or was rejected. */
constexpr millis kRetryPause{200};

bool Contains(std::span<const std::string> workers, std::string_view worker) {
  return std::find(workers.begin(), workers.end(), worker) != workers.end();
}

}  // namespace

bool ticket_cache::Answers(millis now) const {
  const bool late = pending_ && now > pending_->expected_end + kLateAnswer;
  return !late && failed_in_row_ < kFailuresToGiveUp;
}

bool ticket_cache::AwaitsAnswer(const unit_ref& unit, millis now) const {
  return turns_.Has(unit) && Answers(now);
}

millis ticket_cache::AnswerIn(millis now) const {
  return pending_ ? std::max(millis(0), pending_->expected_end - now) : millis(0);
}

millis ticket_cache::ExpectedTime(const advice_policy& policy, size_t workers) const {
  const auto stated = static_cast<double>(CallTime(policy, workers).count());
  return millis(std::llround(stated * slowness_));
}

/** A call that took longer than it was given may still be worked on, and would be so again. */
void ticket_cache::LearnDuration(const pending_call& call, bool answered, millis now) {
  if (answered) {
    const auto stated = static_cast<double>(std::max<int64_t>(1, call.stated.count()));
    slowness_ = static_cast<double>((now - call.sent).count()) / stated;
  } else if (now >= call.expected_end) {
    slowness_ *= 2;
  }
  slowness_ = std::clamp(slowness_, 1.0, kMaxSlowness);
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
  const bool first_call = turns_.calls() == 0 && named.size() < kUsualWorkersPerCall;
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
  std::vector<std::string> named = Expiring(wish, view, turns_.last_call() ? kFarFuture : view.now);
  size_t spare = Spare(wish, queue, named, view);
  size_t expected = 0;
  while (named.size() + spare > expected) {
    expected = named.size() + spare;
    const millis answer = view.now + ExpectedTime(queue.advice, expected);
    named = Expiring(wish, view, turns_.last_call() ? kFarFuture : answer);
    spare = Spare(wish, queue, named, view);
  }
  for (const auto& id : wish.workers) {
    if (spare == 0) break;
    if (view.pool.Find(id) == nullptr || Contains(named, id)) continue;
    named.push_back(id);
    --spare;
  }
  // The shortest call tells soonest that the service answers again, and how slow it is.
  const size_t most = failed_in_row_ < kFailuresToGiveUp ? kMaxWorkersPerCall : 1;
  if (named.size() > most) named.resize(most);
  return named;
}

std::optional<advice_request> ticket_cache::Next(std::span<const advice_wish> wishes,
                                                 const planning_view& view) {
  const std::vector<const advice_wish*> attainable = monitor_.Observe(wishes, turns_, view);
  if (pending_ || view.now < next_) return std::nullopt;
  tickets_.Retain(view.jobs, view.pool);
  turns_.Retain(view.jobs);
  const advice_wish* wish = turns_.Next(attainable, view.now);
  if (wish == nullptr) return std::nullopt;
  const batch_queue& queue = *view.QueueOf(view.jobs.Find(wish->unit.job));
  pending_call call;
  call.workers = WorkersToName(*wish, queue, view);
  if (call.workers.empty()) {
    turns_.End("no ticket is missing", view.now);
    return std::nullopt;
  }
  turns_.CountCall();
  call.unit = wish->unit;
  call.step = StepName(wish->unit);
  call.queue = queue.name;
  for (const auto& id : call.workers) call.born[id] = view.pool.Find(id)->profile.self.born_ms;
  const millis expected = ExpectedTime(queue.advice, call.workers.size());
  call.stated = CallTime(queue.advice, call.workers.size());
  call.sent = view.now;
  call.expected_end = view.now + expected;
  pending_ = std::move(call);
  return advice_request{pending_->step, pending_->workers, expected};
}

void ticket_cache::On(const advice_reply& reply, millis now) {
  // A call of an earlier term may be answered after a call of this term was sent.
  if (!pending_ || pending_->step != reply.step || pending_->workers != reply.asked) return;
  const pending_call call = *std::exchange(pending_, std::nullopt);
  LearnDuration(call, reply.answered, now);
  if (!reply.answered) {
    next_ = now + kRetryPause;
    ++failed_in_row_;
    monitor_.CountFailedCall();
    log_event("advice-failed")
        .With("step", call.step)
        .With("asked", static_cast<int64_t>(call.workers.size()))
        .With("took_ms", (now - call.sent).count());
    return;
  }
  failed_in_row_ = 0;
  const std::map<std::string, std::string, std::less<>> given(reply.tickets.begin(),
                                                              reply.tickets.end());
  policy_share& share = shares_[call.queue];
  for (const auto& [id, born_ms] : call.born) {
    const worker_identity worker{id, born_ms};
    const auto ticket = given.find(id);
    const bool allowed = ticket != given.end();
    if (!tickets_.Known(call.unit, worker)) {
      ++share.asked;
      share.allowed += allowed ? 1 : 0;
    }
    if (allowed) {
      tickets_.Allow(call.unit, worker, ticket->second, now + UsableTime(reply.valid));
    } else {
      tickets_.Refuse(call.unit, worker, now);
    }
  }
  log_event("advice")
      .With("step", call.step)
      .With("asked", static_cast<int64_t>(call.workers.size()))
      .With("good", static_cast<int64_t>(reply.tickets.size()))
      .With("valid_ms", reply.valid.count())
      .With("took_ms", (now - call.sent).count())
      .With("stated_ms", call.stated.count())
      .With("call", turns_.calls());
}

void ticket_cache::Reset() {
  tickets_ = {};
  turns_ = {};
  shares_.clear();
  pending_.reset();
  slowness_ = 1;
  failed_in_row_ = 0;
  next_ = millis(0);
  monitor_.Reset();
}

}  // namespace eelgrass
