#include "kernel/placement/urgent_headroom.h"

#include <algorithm>
#include <cmath>

namespace eelgrass {
namespace {

/** Half-life of a peak: a few times the length of the bursts in the deployments' workloads. */
constexpr millis kHalfLife{10000};

/** Maximum share of a service's capacity to reserve; the rest is needed on average. */
constexpr double kMaxReservedShare = 0.25;

}  // namespace

void urgent_headroom::Observe(double demand, millis now) {
  const auto passed = static_cast<double>((now - observed_).count());
  peak_ *= std::exp2(-passed / static_cast<double>(kHalfLife.count()));
  peak_ = std::max(peak_, demand);
  observed_ = now;
}

double urgent_headroom::Reserved(double demand, double capacity) const {
  return std::clamp(peak_ - demand, 0.0, kMaxReservedShare * capacity);
}

}  // namespace eelgrass
