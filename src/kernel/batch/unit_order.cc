#include "kernel/batch/unit_order.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace eelgrass {

millis LongestChain(const batch_job& job) {
  std::vector<millis> ends;
  millis longest{0};
  for (const auto& step : job.steps) {
    millis begin{0};
    for (int earlier : step.after) begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
    ends.push_back(begin + step.estimate);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

millis ChainAfter(const batch_job& job, int step) {
  std::vector<std::optional<millis>> ends(job.steps.size());  // of what depends on the step
  ends[static_cast<size_t>(step)] = millis(0);
  millis longest{0};
  for (size_t i = 0; i < job.steps.size(); ++i) {
    for (int earlier : job.steps[i].after) {
      const auto begin = ends[static_cast<size_t>(earlier)];
      if (begin) ends[i] = std::max(ends[i].value_or(millis(0)), *begin + job.steps[i].estimate);
    }
    longest = std::max(longest, ends[i].value_or(millis(0)));
  }
  return longest;
}

millis Objective(const batch_job& job, const batch_queue& queue) {
  const auto chain = static_cast<double>(LongestChain(job).count());
  return millis(static_cast<int64_t>(queue.stretch * chain)) + queue.target_latency;
}

}  // namespace eelgrass
