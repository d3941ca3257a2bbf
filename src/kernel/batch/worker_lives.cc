#include "kernel/batch/worker_lives.h"

#include <algorithm>
#include <utility>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Whether at most one of two lives can be alive. */
bool Contend(const worker_identity& a, std::string_view address, const worker_steward& b) {
  return a.id == b.self().id || address == b.address();
}

}  // namespace

worker_steward* worker_lives::Find(std::string_view worker) {
  const auto found = present_.find(worker);
  return found == present_.end() ? nullptr : &found->second;
}

worker_steward* worker_lives::FindAnnounced(const worker_identity& life) {
  const auto found = std::find_if(announced_.begin(), announced_.end(),
                                  [&](const auto& steward) { return steward.self() == life; });
  return found == announced_.end() ? nullptr : &*found;
}

bool worker_lives::HasPlace(const worker_profile& worker) const {
  return std::none_of(present_.begin(), present_.end(), [&](const auto& entry) {
    return Contend(worker.self, worker.address, entry.second);
  });
}

void worker_lives::On(const worker_beat& beat, millis now) {
  const worker_identity& life = beat.worker.self;
  worker_steward* known = Find(life.id);
  if (known == nullptr || !(known->self() == life)) known = FindAnnounced(life);
  if (known == nullptr) return Announce(beat, now);
  if (!known->On(beat, now)) {
    log_event("heartbeat-outdated").With("worker", life.id).With("sequence", beat.sequence);
  }
}

void worker_lives::Announce(const worker_beat& beat, millis now) {
  worker_steward life(beat, now);
  life.SetTerm(term_, now);
  if (HasPlace(beat.worker)) return Settle(std::move(life));
  for (const auto& [id, other] : present_) {
    if (!Contend(life.self(), life.address(), other)) continue;
    log_event("life-announced")
        .With("worker", life.self().id)
        .With("born", life.self().born_ms)
        .With("address", life.address())
        .With("present", id)
        .With("present_born", other.self().born_ms)
        .With("answered_ago_ms",
              other.proof().known() ? (now - other.proof().received()).count() : -1);
  }
  announced_.push_back(std::move(life));
}

void worker_lives::On(const worker_left& left, millis now) {
  worker_steward* steward = Find(left.id);
  if (steward == nullptr) return;
  const worker_identity& self = steward->self();
  if (left.born_ms == 0 || left.born_ms == self.born_ms) return steward->OnLeft(now);
  log_event("departure-outdated")
      .With("worker", left.id)
      .With("born", self.born_ms)
      .With("born_left", left.born_ms);
}

void worker_lives::On(const hold_answer& answer, millis now) {
  worker_steward* steward = Find(answer.worker.id);
  if (steward != nullptr && steward->self() == answer.worker) {
    steward->On(answer, now);
    if (!steward->left()) return;
    gone_.push_back(answer.worker);
    present_.erase(answer.worker.id);
    return;
  }
  steward = FindAnnounced(answer.worker);
  if (steward == nullptr) return;
  steward->On(answer, now);
  Judge(answer.worker, now);
}

/** Gives a life its place if it certainly lives after all that stand there. */
void worker_lives::Judge(const worker_identity& life, millis now) {
  worker_steward& steward = *FindAnnounced(life);
  if (steward.answers_as_another()) return Drop(life, "another life answers");
  const bool latest = std::all_of(present_.begin(), present_.end(), [&](const auto& entry) {
    return !Contend(life, steward.address(), entry.second) ||
           steward.proof().IsAfter(entry.second.proof());
  });
  if (!steward.proof().known()) return;
  if (!latest) return steward.AskAgain(now);
  worker_steward proved = std::move(steward);
  std::erase_if(announced_, [&](const auto& other) { return other.self() == life; });
  std::erase_if(present_, [&](const auto& entry) {
    const worker_steward& other = entry.second;
    if (!Contend(life, proved.address(), other)) return false;
    log_event("life-replaced")
        .With("worker", other.self().id)
        .With("born", other.self().born_ms)
        .With("by", life.id)
        .With("by_born", life.born_ms)
        .With("asked_after_ms", other.proof().known()
                                    ? (proved.proof().sent() - other.proof().received()).count()
                                    : -1)
        .With("answered_in_ms", (proved.proof().received() - proved.proof().sent()).count());
    gone_.push_back(other.self());
    return true;
  });
  Settle(std::move(proved));
}

void worker_lives::Settle(worker_steward life) {
  const worker_identity self = life.self();
  log_event("worker-life")
      .With("worker", self.id)
      .With("born", self.born_ms)
      .With("address", life.address())
      .With("service", life.service())
      .With("answered", life.proof().known() ? 1 : 0);
  present_.emplace(self.id, std::move(life));
}

void worker_lives::Drop(const worker_identity& life, std::string_view reason) {
  log_event("life-not-there")
      .With("worker", life.id)
      .With("born", life.born_ms)
      .With("reason", reason);
  std::erase_if(announced_, [&](const auto& other) { return other.self() == life; });
}

void worker_lives::SetTerm(int64_t term, millis now) {
  term_ = term;
  for (auto& [id, steward] : present_) steward.SetTerm(term, now);
  for (auto& steward : announced_) steward.SetTerm(term, now);
}

void worker_lives::Tick(millis now, std::vector<worker_call>& calls) {
  std::vector<worker_identity> unheard;
  for (const auto& steward : announced_) {
    if (steward.unheard(now)) unheard.push_back(steward.self());
  }
  for (const auto& life : unheard) Drop(life, "no answer");
  std::erase_if(present_, [&](const auto& entry) { return entry.second.gone(now); });
  for (auto& [id, steward] : present_) steward.Tick(now, calls);
  for (auto& steward : announced_) steward.Tick(now, calls);
}

std::vector<worker_identity> worker_lives::TakeGone() { return std::exchange(gone_, {}); }

}  // namespace eelgrass
