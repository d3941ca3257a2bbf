#include "kernel/jobs/runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace eelgrass {
namespace {
constexpr double kLearningRate = 0.2;
constexpr double kMaxLogRatio = 2.3;    // a factor of ten
constexpr millis kUndeclared{3600000};  // assumed run time of a job that declares none
}  // namespace

millis runtime_estimator::Estimate(const job_spec& spec) const {
  const millis declared = spec.declared_ms > millis(0) ? spec.declared_ms : kUndeclared;
  const auto known = log_ratios_.find({spec.job_class, spec.organisation});
  if (known == log_ratios_.end()) return declared;
  return millis(
      static_cast<int64_t>(static_cast<double>(declared.count()) * std::exp(known->second)));
}

void runtime_estimator::Learn(const job_spec& spec, millis ran) {
  const millis declared = spec.declared_ms > millis(0) ? spec.declared_ms : kUndeclared;
  const double true_ms = static_cast<double>(std::max<int64_t>(1, ran.count()));
  const double ratio = std::log(true_ms / static_cast<double>(declared.count()));
  double& learned = log_ratios_[{spec.job_class, spec.organisation}];
  learned += kLearningRate * (std::clamp(ratio, -kMaxLogRatio, kMaxLogRatio) - learned);
}

}  // namespace eelgrass
