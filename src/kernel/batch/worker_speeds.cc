#include "kernel/batch/worker_speeds.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Smoothing rate per end: tasks of one step differ by some 30%, so about ten are needed. */
constexpr double kRate = 0.15;

/** Weight of the estimate, in ends of the same step. */
constexpr double kEstimateWeight = 1;

/** Minimum number of ends before a worker is classified. */
constexpr int kEndsToClassify = 2;

/** A worker is slow from a tenth above the median: means of a few tasks differ by less. */
const double kSlowFactor = std::log(1.1);

/** A worker that takes twice as long as the median is considered faulty. */
const double kCrawlingFactor = std::log(2.0);

constexpr double kPercent = 100;

/** log(actual / estimated duration). */
double Excess(millis estimate, millis took) {
  const auto least = static_cast<double>(std::max<int64_t>(1, estimate.count()));
  return std::log(static_cast<double>(std::max<int64_t>(1, took.count())) / least);
}

}  // namespace

void worker_speeds::Learn(std::string_view worker, step_state& step, millis estimate, millis took) {
  record& known = workers_[std::string(worker)];
  const double excess = Excess(estimate, took);
  const double expected = step.excess_sum / (step.timed_ends + kEstimateWeight);
  step.excess_sum += excess - known.factor;
  ++step.timed_ends;
  // A worker is assumed to have the typical speed until its own ends outweigh that.
  const double rate = std::max(kRate, 1.0 / (known.ends + 2));
  known.factor += rate * (excess - expected - known.factor);
  ++known.ends;
  ClassifyAll();
}

/** Recomputes the median factor and classifies every worker by it. */
void worker_speeds::ClassifyAll() {
  std::vector<double> factors;
  for (const auto& [id, known] : workers_) {
    if (known.ends >= kEndsToClassify) factors.push_back(known.factor);
  }
  if (factors.empty()) return;
  const auto middle = factors.begin() + static_cast<std::ptrdiff_t>(factors.size() / 2);
  std::nth_element(factors.begin(), middle, factors.end());
  median_ = *middle;
  for (auto& [id, known] : workers_) {
    const worker_pace pace = Classify(known);
    if (pace == known.pace) continue;
    known.pace = pace;
    log_event("worker-pace")
        .With("worker", id)
        .With("pace", static_cast<int64_t>(pace))
        .With("percent", static_cast<int64_t>(kPercent * std::exp(known.factor - median_)))
        .With("ends", known.ends);
  }
}

worker_pace worker_speeds::Pace(std::string_view worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? worker_pace::kTypical : found->second.pace;
}

void worker_speeds::Retain(const worker_pool& pool) {
  const auto removed = [&](const auto& known) { return !pool.all().contains(known.first); };
  if (std::erase_if(workers_, removed) != 0) ClassifyAll();
}

worker_pace worker_speeds::Classify(const record& known) const {
  if (known.ends < kEndsToClassify) return worker_pace::kTypical;
  const double over = known.factor - median_;
  if (over > kCrawlingFactor) return worker_pace::kVerySlow;
  return over > kSlowFactor ? worker_pace::kSlow : worker_pace::kTypical;
}

}  // namespace eelgrass
