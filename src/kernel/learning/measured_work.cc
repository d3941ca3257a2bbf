#include "kernel/learning/measured_work.h"

#include <algorithm>
#include <cmath>

namespace eelgrass {
namespace {

/** Bound of one ratio's logarithm: a factor of ten either way. */
constexpr double kMaxLogRatio = 2.3;

/** A ratio this close to 1 is within the error of the measurement: the estimate is right. */
const double kNegligible = std::log(1.15);

/** Runs that are averaged; more would hardly change the mean. */
constexpr int kMaxRuns = 1000;

}  // namespace

void measured_work::Record(millis estimate, double work_ms) {
  if (estimate <= millis(0) || !(work_ms > 0) || runs_ >= kMaxRuns) return;
  const double ratio = std::log(work_ms / static_cast<double>(estimate.count()));
  log_sum_ += std::clamp(ratio, -kMaxLogRatio, kMaxLogRatio);
  ++runs_;
}

double measured_work::ratio() const {
  // What is expected counts as one run, since the work of a single task varies.
  const double ratio = std::exp((std::log(expected_) + log_sum_) / (runs_ + 1));
  return std::abs(std::log(ratio)) < kNegligible ? 1 : ratio;
}

}  // namespace eelgrass
