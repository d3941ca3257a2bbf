/** \file
 * Whether an incarnation whose departure was reported has ended.
 */
#pragma once

#include <algorithm>
#include <optional>

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * Checks a reported departure. The report names a worker's id and may concern an earlier
 * incarnation. One that keeps answering for most of a second has not departed, as a departing
 * worker ends right after its report.
 */
class departure_check {
 public:
  void OnDeparture(millis now) {
    if (!reported_at_) reported_at_ = now;
    retry_delay_ = kFirstDelay;
  }
  bool pending() const { return reported_at_.has_value(); }
  millis reported_at() const { return reported_at_.value_or(millis(0)); }

  /** Delay before the next hold. */
  millis retry_delay() const { return retry_delay_; }

  /** Records whether the incarnation itself answered; doubles the delay up to its maximum. */
  void OnAnswer(bool answered) {
    if (answered && retry_delay_ >= kLongestDelay) reported_at_.reset();
    retry_delay_ = std::min(retry_delay_ * 2, kLongestDelay);
  }

 private:
  static constexpr millis kFirstDelay{20};
  static constexpr millis kLongestDelay{320};

  std::optional<millis> reported_at_;  // none: no departure was reported
  millis retry_delay_{kFirstDelay};
};

}  // namespace eelgrass
