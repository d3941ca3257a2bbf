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
class departure_doubt {
 public:
  void Begin(millis now) {
    if (!heard_) heard_ = now;
    pause_ = kFirstPause;
  }
  bool open() const { return heard_.has_value(); }
  millis heard() const { return heard_.value_or(millis(0)); }

  /** Until the life is asked again. */
  millis pause() const { return pause_; }

  /** An answer of the life itself, or none; it is asked less and less often. */
  void OnAnswer(bool answered) {
    if (answered && pause_ >= kLastPause) heard_.reset();
    pause_ = std::min(pause_ * 2, kLastPause);
  }

 private:
  static constexpr millis kFirstPause{20};
  static constexpr millis kLastPause{320};

  std::optional<millis> heard_;  // none: nobody says that it leaves
  millis pause_{kFirstPause};
};

}  // namespace eelgrass
