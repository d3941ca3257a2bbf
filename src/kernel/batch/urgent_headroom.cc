#include "kernel/batch/urgent_headroom.h"

#include <algorithm>
#include <cmath>

namespace eelgrass {
namespace {

/** A peak counts half after this: a few times as long as bursts last in the deployments' days. */
constexpr millis kHalfLife{10000};

/** At most this share of a service's capacity is kept free: the rest is needed on average. */
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
