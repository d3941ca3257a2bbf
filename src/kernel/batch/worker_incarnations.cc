#include "kernel/batch/worker_incarnations.h"

#include <algorithm>
#include <utility>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Whether two incarnations share an id or an address, so that at most one can be alive. */
bool Conflict(const worker_identity& a, std::string_view address, const worker_controller& b) {
  return a.id == b.self().id || address == b.address();
}

}  // namespace

worker_controller* worker_incarnations::Find(std::string_view worker) {
  const auto found = present_.find(worker);
  return found == present_.end() ? nullptr : &found->second;
}

worker_controller* worker_incarnations::FindCandidate(const worker_identity& incarnation) {
  const auto found =
      std::find_if(candidates_.begin(), candidates_.end(),
                   [&](const auto& controller) { return controller.self() == incarnation; });
  return found == candidates_.end() ? nullptr : &*found;
}

bool worker_incarnations::HasNoConflict(const worker_profile& worker) const {
  return std::none_of(present_.begin(), present_.end(), [&](const auto& entry) {
    return Conflict(worker.self, worker.address, entry.second);
  });
}

void worker_incarnations::On(const worker_heartbeat& heartbeat, millis now) {
  const worker_identity& incarnation = heartbeat.worker.self;
  worker_controller* known = Find(incarnation.id);
  if (known == nullptr || !(known->self() == incarnation)) known = FindCandidate(incarnation);
  if (known == nullptr) return AddCandidate(heartbeat, now);
  if (!known->On(heartbeat, now)) {
    log_event("heartbeat-outdated")
        .With("worker", incarnation.id)
        .With("sequence", heartbeat.sequence);
  }
}

void worker_incarnations::AddCandidate(const worker_heartbeat& heartbeat, millis now) {
  if (!earlier_calls_until_) earlier_calls_until_ = now + kLatestExecution;
  worker_controller incarnation(heartbeat, now, *earlier_calls_until_);
  incarnation.SetTerm(term_, now);
  FenceCandidate(incarnation, now);
  if (HasNoConflict(heartbeat.worker)) return MakePresent(std::move(incarnation));
  for (const auto& [id, other] : present_) {
    if (!Conflict(incarnation.self(), incarnation.address(), other)) continue;
    log_event("incarnation-announced")
        .With("worker", incarnation.self().id)
        .With("born", incarnation.self().born_ms)
        .With("life", incarnation.incarnation())
        .With("address", incarnation.address())
        .With("present", id)
        .With("present_born", other.self().born_ms)
        .With("answered_ago_ms",
              other.proof().known() ? (now - other.proof().received()).count() : -1);
  }
  candidates_.push_back(std::move(incarnation));
}

void worker_incarnations::On(const worker_departure& departed, millis now) {
  worker_controller* controller = Find(departed.id);
  if (controller == nullptr) return;
  const worker_identity& self = controller->self();
  if (departed.born_ms == 0 || departed.born_ms == self.born_ms) {
    return controller->OnDeparture(now);
  }
  log_event("departure-outdated")
      .With("worker", departed.id)
      .With("born", self.born_ms)
      .With("born_left", departed.born_ms);
}

void worker_incarnations::On(const hold_answer& answer, millis now) {
  worker_controller* controller = Find(answer.worker.id);
  if (controller != nullptr && controller->self() == answer.worker) {
    controller->On(answer, now);
    if (!controller->departed()) return;
    ended_incarnations_.push_back(answer.worker);
    NoteRemoved(*controller);
    present_.erase(answer.worker.id);
    return;
  }
  controller = FindCandidate(answer.worker);
  if (controller == nullptr) return;
  controller->On(answer, now);
  EvaluateCandidate(answer.worker, now);
}

/** Makes a candidate present if it was certainly alive after all that it conflicts with. */
void worker_incarnations::EvaluateCandidate(const worker_identity& incarnation, millis now) {
  const auto found =
      std::find_if(candidates_.begin(), candidates_.end(),
                   [&](const auto& candidate) { return candidate.self() == incarnation; });
  worker_controller& controller = *found;
  if (controller.other_incarnation_answers()) {
    return DropCandidate(incarnation, "another answers", now);
  }
  const bool latest = std::all_of(present_.begin(), present_.end(), [&](const auto& entry) {
    return !Conflict(incarnation, controller.address(), entry.second) ||
           controller.proof().IsAfter(entry.second.proof());
  });
  if (!controller.proof().known()) return;
  if (!latest) return controller.RetryHold(now);
  worker_controller proved = std::move(controller);
  candidates_.erase(found);
  std::erase_if(present_, [&](const auto& entry) {
    const worker_controller& other = entry.second;
    if (!Conflict(incarnation, proved.address(), other)) return false;
    log_event("incarnation-replaced")
        .With("worker", other.self().id)
        .With("born", other.self().born_ms)
        .With("by", incarnation.id)
        .With("by_born", incarnation.born_ms)
        .With("call_sent_after_ms", other.proof().known()
                                        ? (proved.proof().sent() - other.proof().received()).count()
                                        : -1)
        .With("answered_in_ms", (proved.proof().received() - proved.proof().sent()).count());
    ended_incarnations_.push_back(other.self());
    NoteRemoved(other);
    return true;
  });
  MakePresent(std::move(proved));
}

void worker_incarnations::MakePresent(worker_controller incarnation) {
  const worker_identity self = incarnation.self();
  log_event("incarnation-present")
      .With("worker", self.id)
      .With("born", self.born_ms)
      .With("life", incarnation.incarnation())
      .With("address", incarnation.address())
      .With("service", incarnation.service())
      .With("answered", incarnation.proof().known() ? 1 : 0);
  present_.emplace(self.id, std::move(incarnation));
}

/** A dropped candidate's holds may have raised the fence of the present incarnation. */
void worker_incarnations::DropCandidate(const worker_identity& incarnation, std::string_view reason,
                                        millis now) {
  log_event("incarnation-dropped")
      .With("worker", incarnation.id)
      .With("born", incarnation.born_ms)
      .With("reason", reason);
  const int64_t number = HighestNumber(incarnation.id);
  std::erase_if(candidates_, [&](const auto& other) { return other.self() == incarnation; });
  if (worker_controller* present = Find(incarnation.id)) present->RaiseIncarnation(number, now);
}

/** The highest number under which an incarnation of the worker was called in this term; -1: none.
 */
int64_t worker_incarnations::HighestNumber(std::string_view worker) const {
  int64_t highest = -1;
  if (const auto found = removed_.find(worker); found != removed_.end()) highest = found->second;
  if (const auto found = present_.find(worker); found != present_.end()) {
    highest = std::max(highest, found->second.incarnation());
  }
  for (const auto& candidate : candidates_) {
    if (candidate.self().id == worker) highest = std::max(highest, candidate.incarnation());
  }
  return highest;
}

void worker_incarnations::NoteRemoved(const worker_controller& controller) {
  int64_t& highest = removed_[controller.self().id];
  highest = std::max(highest, controller.incarnation());
}

/**
 * Gives a candidate a higher fence than all calls under its id, so that its first hold makes it
 * reject those that are still in transit.
 */
void worker_incarnations::FenceCandidate(worker_controller& candidate, millis now) {
  candidate.RaiseIncarnation(HighestNumber(candidate.self().id) + 1, now);
}

void worker_incarnations::SetTerm(int64_t term, millis now) {
  if (term > term_) removed_.clear();
  term_ = term;
  for (auto& [id, controller] : present_) controller.SetTerm(term, now);
  for (auto& controller : candidates_) {
    controller.SetTerm(term, now);
    FenceCandidate(controller, now);
  }
}

void worker_incarnations::Tick(millis now, std::vector<worker_call>& calls) {
  std::vector<worker_identity> unresponsive;
  for (const auto& controller : candidates_) {
    if (controller.heartbeat_expired(now)) unresponsive.push_back(controller.self());
  }
  for (const auto& incarnation : unresponsive) DropCandidate(incarnation, "no answer", now);
  std::erase_if(present_, [&](const auto& entry) {
    const bool expired = entry.second.expired(now);
    if (expired) NoteRemoved(entry.second);
    return expired;
  });
  for (auto& [id, controller] : present_) controller.Tick(now, calls);
  for (auto& controller : candidates_) controller.Tick(now, calls);
}

std::vector<worker_identity> worker_incarnations::TakeEnded() {
  return std::exchange(ended_incarnations_, {});
}

}  // namespace eelgrass
