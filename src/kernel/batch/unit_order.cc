#include "kernel/batch/unit_order.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace eelgrass {

namespace {

/** An estimate, corrected by what the job's runs or its queue have shown. */
millis Corrected(const tracked_job& job, millis estimated) {
  return millis(static_cast<int64_t>(static_cast<double>(estimated.count()) * job.work.ratio()));
}

millis ObjectiveFor(millis chain, const batch_queue& queue) {
  const auto work = static_cast<double>(chain.count());
  return millis(static_cast<int64_t>(queue.stretch * work)) + queue.target_latency;
}

}  // namespace

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

millis LongestChain(const tracked_job& job) { return Corrected(job, LongestChain(job.job)); }

millis ChainAfter(const tracked_job& job, int step) {
  const std::vector<batch_step>& steps = job.job.steps;
  std::vector<std::optional<millis>> ends(steps.size());  // of what depends on the step
  ends[static_cast<size_t>(step)] = millis(0);
  millis longest{0};
  for (size_t i = 0; i < steps.size(); ++i) {
    for (int earlier : steps[i].after) {
      const auto begin = ends[static_cast<size_t>(earlier)];
      if (begin) ends[i] = std::max(ends[i].value_or(millis(0)), *begin + steps[i].estimate);
    }
    longest = std::max(longest, ends[i].value_or(millis(0)));
  }
  return Corrected(job, longest);
}

millis Objective(const batch_job& job, const batch_queue& queue) {
  return ObjectiveFor(LongestChain(job), queue);
}

millis Objective(const tracked_job& job, const batch_queue& queue) {
  return ObjectiveFor(LongestChain(job), queue);
}

}  // namespace eelgrass
