#include "kernel/stragglers/listing_watch.h"

#include <algorithm>

namespace eelgrass {
namespace {

/**
 * Most time that counts between two listings. Agents report every second; a single listing after a
 * pause, as after the planner's own suspension, is therefore never enough for a stall.
 */
constexpr millis kLongestGap{1200};

constexpr double kMillisPerSecond = 1000;

}  // namespace

void listing_watch::Observe(int64_t percent, millis at, std::optional<double> rate, millis now) {
  if (percent < 0 || now - at > kFreshListing || at <= listed_at_) return;
  const bool first = percent_ < 0;
  if (first || percent < first_percent_) {
    first_percent_ = percent;
    first_at_ = at;
  }
  if (first || percent != percent_) {
    standing_ = millis(0);
    advanced_at_ = at;
    if (rate) rate_ = rate;
  } else {
    standing_ += std::min(kLongestGap, at - listed_at_);
  }
  percent_ = percent;
  listed_at_ = at;
}

std::optional<double> listing_watch::average_rate() const {
  const auto took = static_cast<double>((advanced_at_ - first_at_).count());
  if (!advanced() || took <= 0) return std::nullopt;
  return static_cast<double>(percent_ - first_percent_) * kMillisPerSecond / took;
}

}  // namespace eelgrass
