#include "kernel/sharing/job_width.h"

#include <algorithm>

namespace eelgrass {
namespace {

/** Above this share of a worker, two members do not fit side by side. */
constexpr double kWholeWorkerShare = 0.5;

}  // namespace

bool IsWide(const batch_step& step, const amounts& worker) {
  return step.gang && step.count > 1 && LargestShare(step.each, worker) > kWholeWorkerShare;
}

bool IsWide(const batch_job& job, const amounts& worker) {
  return std::any_of(job.steps.begin(), job.steps.end(),
                     [&worker](const batch_step& step) { return IsWide(step, worker); });
}

int64_t AcceleratorsNeeded(const batch_job& job) {
  int64_t most = 0;
  for (const auto& step : job.steps) most = std::max(most, step.each.accelerators * step.count);
  return most;
}

}  // namespace eelgrass
