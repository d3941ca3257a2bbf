/** \file
 * A clock that moves only when told to.
 */
#pragma once

#include "kernel/base/clock.h"

namespace eelgrass {

/** Clock for tests, scenarios and replays. Wall time starts at a fixed instant. */
class virtual_clock : public clock {
 public:
  millis Now() const override { return now_; }
  millis WallNow() const override { return kWallStart + now_; }

  void Advance(millis by) { now_ += by; }
  void SetNow(millis now) { now_ = now; }

  /** 2026-01-01T00:00:00Z. */
  static constexpr millis kWallStart{1767225600000};

 private:
  millis now_{};
};

}  // namespace eelgrass
