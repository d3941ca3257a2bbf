#include "kernel/placement/speed_match.h"

#include <algorithm>

#include "kernel/batch/unit_order.h"
#include "kernel/learning/run_forecast.h"

namespace eelgrass {
namespace {

/** Time from placing a unit until it works, and from its end until the caller can see it. */
constexpr millis kOverhead{150};

enum speed_rank { kInTime, kUnknown, kLate };

}  // namespace

speed_match::speed_match(const ready_unit& unit, const planning_view& view) {
  const bool scheduled = unit.job->job.occurrences > 0;
  const millis work = ExpectedWork(*unit.job, *unit.step);
  if (scheduled || unit.step->long_running || work <= millis(0)) return;
  const millis until = unit.job->accepted + Objective(*unit.job, *unit.queue);
  const millis left = until - view.now - kOverhead - ChainAfter(*unit.job, unit.unit.step);
  greatest_in_time_ = static_cast<double>(left.count()) / static_cast<double>(work.count());
  sensitive_ = greatest_in_time_ >= 1 && view.speeds.greatest_slowdown() > greatest_in_time_;
}

int speed_match::Rank(const candidate_worker& candidate) const {
  if (!sensitive_) return kInTime;
  if (!candidate.speed.known) return kUnknown;
  return candidate.speed.slowdown <= greatest_in_time_ ? kInTime : kLate;
}

}  // namespace eelgrass
