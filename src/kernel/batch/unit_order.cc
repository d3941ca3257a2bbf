#include "kernel/batch/unit_order.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "kernel/learning/run_forecast.h"

namespace eelgrass {

millis LongestChain(const tracked_job& job) {
  std::vector<millis> ends;
  millis longest{0};
  for (const auto& step : job.job.steps) {
    millis begin{0};
    for (int earlier : step.after) begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
    ends.push_back(begin + ExpectedWork(job, step));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

millis ChainAfter(const tracked_job& job, int step) {
  const std::vector<batch_step>& steps = job.job.steps;
  std::vector<std::optional<millis>> ends(steps.size());  // of what depends on the step
  ends[static_cast<size_t>(step)] = millis(0);
  millis longest{0};
  for (size_t i = 0; i < steps.size(); ++i) {
    for (int earlier : steps[i].after) {
      const auto begin = ends[static_cast<size_t>(earlier)];
      if (!begin) continue;
      ends[i] = std::max(ends[i].value_or(millis(0)), *begin + ExpectedWork(job, steps[i]));
    }
    longest = std::max(longest, ends[i].value_or(millis(0)));
  }
  return longest;
}

millis Objective(const tracked_job& job, const batch_queue& queue) {
  const auto chain = static_cast<double>(LongestChain(job).count());
  return millis(static_cast<int64_t>(queue.stretch * chain)) + queue.target_latency;
}

}  // namespace eelgrass
