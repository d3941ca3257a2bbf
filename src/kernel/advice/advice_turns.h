/** \file
 * The order in which steps are asked for.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <utility>

#include "kernel/advice/advice_messages.h"

namespace eelgrass {

/**
 * Gives steps turns for calls to the advice service, which takes one call at a time. A step keeps
 * its turn until the unit that it is for needs no ticket any more or cannot start any more, but for
 * a limited number of calls. Turns go alternately to the first step by importance and to the one
 * that has waited longest of those that could start. A step that could start therefore waits for at
 * most two turns of each other waiting step, whatever steps come meanwhile. A turn has at most
 * three calls more than it takes to name the unit's workers; for the duration of a call see
 * ticket_cache.
 */
class advice_turns {
 public:
  /** The wish that the next call is for: of the step whose turn it is, or begins; may be none. */
  const advice_wish* Next(std::span<const advice_wish* const> wishes, millis now);

  /** Counts a call for the step whose turn it is. */
  void CountCall();

  /** Ends the present turn. */
  void End(std::string_view reason, millis now);

  bool Has(const unit_ref& unit) const { return turn_ && turn_->unit == unit; }

  /** Calls of the present turn so far. */
  int calls() const { return turn_ ? turn_->calls : 0; }

  /** Whether the present turn has only one call left. */
  bool last_call() const { return turn_ && turn_->calls + 1 == turn_->most_calls; }

  /** Since when a step has waited for a turn. */
  millis WaitsSince(const advice_wish& wish) const;

  /** Keeps what is known of the steps of open jobs. */
  void Retain(const job_table& jobs);

 private:
  struct step_history {
    millis served{INT64_MIN / 4};  // end of its last turn
    bool asked = false;            // a call has been made for it
  };
  struct step_turn {
    unit_ref unit;
    bool could_start = false;  // when the turn began
    int calls = 0;
    int most_calls = 1;
    millis since{0};
  };

  step_history HistoryOf(const unit_ref& unit) const;
  std::pair<int, millis> Rank(const advice_wish& wish) const;
  const advice_wish* Keep(std::span<const advice_wish* const> wishes, millis now);
  const advice_wish* Choose(std::span<const advice_wish* const> wishes) const;

  std::map<step_key, step_history, std::less<>> steps_;
  std::optional<step_turn> turn_;
  int64_t turns_ = 0;
};

}  // namespace eelgrass
