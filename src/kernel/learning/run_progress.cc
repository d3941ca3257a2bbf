#include "kernel/learning/run_progress.h"

#include <algorithm>

namespace eelgrass {
namespace {

/** Period that a rate is measured over: follows a change of speed within seconds. */
constexpr millis kWindow{2500};

/** Least progress for a rate: percentages are rounded down, so that five are off by a tenth. */
constexpr int64_t kMinGain = 5;

/** Least time for a rate, in ms: reports that were held up on the way arrive together. */
constexpr double kLeastSpan = 400;

/** A slow run is thinned out to this many observations. */
constexpr size_t kMaxSamples = 64;

/** Standard deviation of the difference of two percentages that are rounded down. */
constexpr double kRoundingError = 0.41;

constexpr int64_t kAllDone = 100;

/** From here on a percentage may stand still without telling anything of the worker. */
constexpr int64_t kNearlyDone = 98;

constexpr double kMillisPerSecond = 1000;

}  // namespace

void run_progress::Observe(int64_t percent, millis at) {
  // A member of a gang that has done its work waits for the slower ones.
  if (percent >= kNearlyDone && !samples_.empty()) return;
  if (percent < 0 || (!samples_.empty() && at <= samples_.back().at)) return;
  const bool advanced = samples_.empty() || percent > samples_.back().percent;
  if (!samples_.empty() && percent < samples_.back().percent) samples_.clear();
  if (advanced) advanced_ = at;
  samples_.push_back({percent, at});
  // Keeps what the window holds, and more as long as that shows too little progress.
  while (samples_.size() > 2 && samples_[1].at + kWindow <= at &&
         percent - samples_[1].percent >= kMinGain) {
    samples_.pop_front();
  }
  if (samples_.size() > kMaxSamples) samples_.erase(++samples_.begin());
}

std::optional<work_rate> run_progress::rate() const {
  if (samples_.size() < 2 || samples_.front().percent >= kAllDone) return std::nullopt;
  const int64_t gain = samples_.back().percent - samples_.front().percent;
  const auto took = static_cast<double>((samples_.back().at - samples_.front().at).count());
  if (gain < kMinGain || took < kLeastSpan) return std::nullopt;
  const auto percent = static_cast<double>(gain);
  return work_rate{percent * kMillisPerSecond / took, kRoundingError / percent};
}

std::optional<millis> run_progress::Remaining(millis now) const {
  const auto speed = rate();
  if (!speed) return std::nullopt;
  const auto missing = static_cast<double>(kAllDone - samples_.back().percent);
  const millis end =
      samples_.back().at +
      millis(static_cast<int64_t>(missing * kMillisPerSecond / speed->percent_per_second));
  return std::max(millis(0), end - now);
}

millis run_progress::Stalled() const {
  return samples_.empty() ? millis(0) : samples_.back().at - advanced_;
}

}  // namespace eelgrass
