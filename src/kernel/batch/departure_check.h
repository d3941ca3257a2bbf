/** \file
 * Whether a life that is said to leave has ended.
 */
#pragma once

#include <algorithm>
#include <optional>

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * A departure names an id, perhaps a former life's. A life that goes on answering for most of a
 * second has not left: one that leaves ends right after it has said so.
 */
class departure_check {
 public:
  void OnDeparture(millis now) {
    if (!reported_at_) reported_at_ = now;
    retry_delay_ = kFirstDelay;
  }
  bool pending() const { return reported_at_.has_value(); }
  millis reported_at() const { return reported_at_.value_or(millis(0)); }

  /** Until the life is asked again. */
  millis retry_delay() const { return retry_delay_; }

  /** An answer of the life itself, or none; it is asked less and less often. */
  void OnAnswer(bool answered) {
    if (answered && retry_delay_ >= kLongestDelay) reported_at_.reset();
    retry_delay_ = std::min(retry_delay_ * 2, kLongestDelay);
  }

 private:
  static constexpr millis kFirstDelay{20};
  static constexpr millis kLongestDelay{320};

  std::optional<millis> reported_at_;  // none: nobody says that it leaves
  millis retry_delay_{kFirstDelay};
};

}  // namespace eelgrass
