/** \file
 * What happens next on a virtual clock.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "kernel/base/virtual_clock.h"

namespace eelgrass {

/** Calls in the order of their times, and of their making between equal times. */
class timeline {
 public:
  const virtual_clock& time() const { return clock_; }
  millis now() const { return clock_.Now(); }

  void At(millis when, std::function<void()> call) {
    calls_.emplace(std::make_pair(std::max(when, now()), ++last_), std::move(call));
  }
  void After(millis delay, std::function<void()> call) { At(now() + delay, std::move(call)); }

  /** Makes all calls up to `until`, and sets the clock to it. */
  void RunUntil(millis until) {
    while (!calls_.empty() && calls_.begin()->first.first <= until) {
      const auto next = calls_.begin();
      clock_.SetNow(next->first.first);
      const auto call = std::move(next->second);
      calls_.erase(next);
      call();
    }
    clock_.SetNow(until);
  }

 private:
  virtual_clock clock_;
  std::map<std::pair<millis, uint64_t>, std::function<void()>> calls_;
  uint64_t last_ = 0;
};

}  // namespace eelgrass
