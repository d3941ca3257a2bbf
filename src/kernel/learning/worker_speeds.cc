#include "kernel/learning/worker_speeds.h"

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

/** Greatest standard deviation of a known speed: it then rarely errs by a third. */
constexpr double kKnownDeviation = 0.2;

/** The median of fewer known speeds may well be one of the slowest; none is typical then. */
constexpr size_t kLeastForMedian = 6;

/** A change of a known speed by this much is logged. */
const double kLoggedChange = std::log(1.2);

/** Spread of log(work): members of a gang have equal work, tasks of one step vary. */
constexpr double kGangSpread = 0.03;
constexpr double kStepSpread = 0.25;

/** Speeds belong to the VM; a worker that names none stands for itself. */
const std::string& MachineOf(const worker_profile& worker) {
  return worker.vm.empty() ? worker.self.id : worker.vm;
}

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

void worker_speeds::ObserveRate(const worker_profile& worker, const batch_step& step,
                                const unit_ref& unit, const run_ref& run, const work_rate& rate,
                                millis now) {
  rate_sample sample;
  sample.machine = MachineOf(worker);
  sample.run = run.task;
  sample.rate = rate.percent_per_second;
  sample.spread = std::hypot(step.gang ? kGangSpread : kStepSpread, rate.error);
  sample.group = unit.job + "." + std::to_string(unit.occurrence) + "." + std::to_string(unit.step);
  // Gang runs may differ: one that is spread over racks can be slower as a whole.
  if (step.gang) sample.group += "." + std::to_string(run.run);
  rates_.Observe(sample, now);
}

/** Whether a VM is in the pool and its speed is known. */
bool worker_speeds::Counts(std::string_view vm, const machine_slowness& estimate) const {
  return estimate.deviation <= kKnownDeviation && (!present_ || present_->contains(vm));
}

void worker_speeds::Update(millis now) {
  rates_.Estimate(now);
  std::vector<double> known;
  for (const auto& [vm, estimate] : rates_.estimates()) {
    if (Counts(vm, estimate)) known.push_back(estimate.mean);
  }
  known_ = static_cast<int64_t>(known.size());
  typical_ = 0;
  if (known.size() >= kLeastForMedian) {
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    typical_ = *middle;
  }
  std::erase_if(logged_, [this](const auto& entry) { return !rates_.Of(entry.first); });
  greatest_slowdown_ = 1;
  for (const auto& [vm, estimate] : rates_.estimates()) {
    if (!Counts(vm, estimate)) continue;
    const double slowness = estimate.mean - typical_;
    greatest_slowdown_ = std::max(greatest_slowdown_, std::exp(slowness));
    const auto before = logged_.find(vm);
    if (before != logged_.end() && std::abs(before->second - slowness) < kLoggedChange) continue;
    logged_[vm] = slowness;
    log_event("vm-speed")
        .With("vm", vm)
        .With("slowdown_percent", static_cast<int64_t>(kPercent * std::exp(slowness)))
        .With("deviation_percent", static_cast<int64_t>(kPercent * estimate.deviation));
  }
}

std::vector<measured_speed> worker_speeds::Measured() const {
  std::vector<measured_speed> measured;
  for (const auto& [vm, estimate] : rates_.estimates()) {
    if (estimate.deviation > kKnownDeviation || !estimate.measured) continue;
    measured.push_back({vm, estimate.mean - typical_, estimate.deviation, *estimate.measured});
  }
  return measured;
}

worker_speed worker_speeds::SpeedOf(const worker_profile& worker) const {
  const auto estimate = rates_.Of(MachineOf(worker));
  if (!estimate || estimate->deviation > kKnownDeviation) return {};
  return {std::exp(estimate->mean - typical_), true};
}

worker_pace worker_speeds::Pace(const worker_profile& worker) const {
  const auto estimate = rates_.Of(MachineOf(worker));
  if (!estimate || estimate->deviation > kKnownDeviation) return Pace(worker.self.id);
  // Errors of measurement do not make a worker slow.
  const double over = estimate->mean - typical_ - estimate->deviation;
  if (over > kCrawlingFactor) return worker_pace::kVerySlow;
  return over > kSlowFactor ? worker_pace::kSlow : worker_pace::kTypical;
}

worker_pace worker_speeds::Pace(std::string_view worker) const {
  const auto found = workers_.find(worker);
  return found == workers_.end() ? worker_pace::kTypical : found->second.pace;
}

void worker_speeds::Retain(const worker_pool& pool) {
  const auto removed = [&](const auto& known) { return !pool.all().contains(known.first); };
  if (std::erase_if(workers_, removed) != 0) ClassifyAll();
  present_.emplace();
  for (const auto& [id, worker] : pool.all()) present_->insert(MachineOf(worker.profile));
}

worker_pace worker_speeds::Classify(const record& known) const {
  if (known.ends < kEndsToClassify) return worker_pace::kTypical;
  const double over = known.factor - median_;
  if (over > kCrawlingFactor) return worker_pace::kVerySlow;
  return over > kSlowFactor ? worker_pace::kSlow : worker_pace::kTypical;
}

}  // namespace eelgrass
