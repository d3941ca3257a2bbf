#include "kernel/learning/work_estimates.h"

#include <algorithm>
#include <cmath>

namespace eelgrass {
namespace {

/** Steps that are recorded before estimates are corrected. */
constexpr int kLeastSteps = 5;

/** Weight of the latest step at least: follows a change of the workload within some fifty steps. */
constexpr double kRate = 0.04;

/** Queues that are kept; operators configure fewer. */
constexpr size_t kMaxQueues = 4096;

/** Least variance of a logarithm: measured work is off by a tenth itself. */
constexpr double kLeastVariance = 0.01;

/** Bound of a correction: a factor of ten either way. */
constexpr double kMaxLogRatio = 2.3;

double LogOf(millis time) {
  return std::log(static_cast<double>(std::max<int64_t>(1, time.count())));
}

}  // namespace

void work_estimates::moments::Add(double value, double rate) {
  const double difference = value - mean;
  mean += rate * difference;
  variance = (1 - rate) * (variance + rate * difference * difference);
}

void work_estimates::Record(std::string_view queue, millis estimate, double work_ms) {
  if (estimate <= millis(0) || !(work_ms > 0)) return;
  if (!queues_.contains(queue) && queues_.size() >= kMaxQueues) return;
  record& known = queues_[std::string(queue)];
  const double rate = std::max(kRate, 1.0 / (known.steps + 1));
  const double work = std::log(work_ms);
  known.work.Add(work, rate);
  known.error.Add(work - LogOf(estimate), rate);
  ++known.steps;
}

double work_estimates::Ratio(std::string_view queue, millis estimate) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.steps < kLeastSteps) return 1;
  const record& known = found->second;
  // Two sources: the queue's usual work, and the estimate with its usual error.
  const double usual = 1 / std::max(kLeastVariance, known.work.variance);
  const double stated = 1 / std::max(kLeastVariance, known.error.variance);
  const double own = LogOf(estimate);
  const double work =
      (usual * known.work.mean + stated * (own + known.error.mean)) / (usual + stated);
  return std::exp(std::clamp(work - own, -kMaxLogRatio, kMaxLogRatio));
}

}  // namespace eelgrass
