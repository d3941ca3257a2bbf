#include "kernel/advice/advice_turns.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Calls in one turn beyond those that a unit needs if no worker is refused and no call fails. */
constexpr int kSpareCalls = 3;

}  // namespace

advice_turns::step_history advice_turns::HistoryOf(const unit_ref& unit) const {
  const auto found = steps_.find(StepKey(unit));
  return found == steps_.end() ? step_history{} : found->second;
}

millis advice_turns::WaitsSince(const advice_wish& wish) const {
  return std::max(wish.ready_since, HistoryOf(wish.unit).served);
}

/** The smallest is asked for first; equal ones in the order of the units. */
std::pair<int, millis> advice_turns::Rank(const advice_wish& wish) const {
  const step_history history = HistoryOf(wish.unit);
  constexpr int kHoldsRoom = 0;
  constexpr int kNew = 1;
  constexpr int kHasRoom = 2;
  constexpr int kMayPreempt = 3;
  constexpr int kWaitsForRoom = 4;
  int group = kWaitsForRoom;
  if (wish.may_preempt) group = kMayPreempt;
  if (wish.has_room) group = kHasRoom;
  if (!history.asked && (wish.has_room || wish.may_preempt)) group = kNew;
  if (wish.holds_room) group = kHoldsRoom;
  return {group, history.served};
}

const advice_wish* advice_turns::Next(std::span<const advice_wish* const> wishes, millis now) {
  if (const advice_wish* kept = Keep(wishes, now)) return kept;
  const advice_wish* wish = Choose(wishes);
  if (wish == nullptr) return nullptr;
  ++turns_;
  const auto needed = static_cast<int>(CallsFor(wish->place.size()));
  turn_ = step_turn{wish->unit, wish->CouldStart(), 0, needed + kSpareCalls, now};
  return wish;
}

/** The wish of the unit that has the turn; nullptr once its turn is over. */
const advice_wish* advice_turns::Keep(std::span<const advice_wish* const> wishes, millis now) {
  if (!turn_) return nullptr;
  const auto wish = std::find_if(wishes.begin(), wishes.end(),
                                 [this](const auto* w) { return w->unit == turn_->unit; });
  if (wish == wishes.end()) {
    End("no ticket is missing", now);
  } else if (!(*wish)->CouldStart()) {
    End("no room", now);
  } else if (turn_->calls >= turn_->most_calls) {
    End("its calls are used up", now);
  } else {
    return *wish;
  }
  return nullptr;
}

/** The wish that gets the next turn; nullptr if there is none. */
const advice_wish* advice_turns::Choose(std::span<const advice_wish* const> wishes) const {
  const advice_wish* chosen = nullptr;
  if (turns_ % 2 == 1) {
    for (const auto* wish : wishes) {
      if (!wish->CouldStart()) continue;
      if (chosen == nullptr || WaitsSince(*wish) < WaitsSince(*chosen)) chosen = wish;
    }
  }
  if (chosen != nullptr) return chosen;
  const auto first =
      std::min_element(wishes.begin(), wishes.end(),
                       [this](const auto* a, const auto* b) { return Rank(*a) < Rank(*b); });
  return first == wishes.end() ? nullptr : *first;
}

void advice_turns::CountCall() {
  ++turn_->calls;
  steps_[StepKey(turn_->unit)].asked = true;
}

void advice_turns::End(std::string_view reason, millis now) {
  steps_[StepKey(turn_->unit)].served = now;
  if (turn_->could_start) {
    log_event("advice-turn-ended")
        .With("step", StepName(turn_->unit))
        .With("reason", reason)
        .With("calls", turn_->calls)
        .With("took_ms", (now - turn_->since).count());
  }
  turn_.reset();
}

void advice_turns::Retain(const job_table& jobs) {
  std::erase_if(steps_,
                [&](const auto& step) { return !jobs.open().contains(std::get<0>(step.first)); });
}

}  // namespace eelgrass
