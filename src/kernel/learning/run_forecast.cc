#include "kernel/learning/run_forecast.h"

#include <algorithm>

namespace eelgrass {

millis ExpectedWork(const tracked_job& job, const batch_step& step) {
  return millis(
      static_cast<int64_t>(static_cast<double>(step.estimate.count()) * job.work.ratio()));
}

millis PredictRest(const run_record& record, const tracked_job& job, const batch_step& step,
                   millis now) {
  if (const auto rest = record.progress.Remaining(now)) return *rest;
  const double whole = static_cast<double>(ExpectedWork(job, step).count()) * record.slowdown;
  const millis since = record.began.value_or(now);
  return std::max(millis(0), since + millis(static_cast<int64_t>(whole)) - now);
}

}  // namespace eelgrass
