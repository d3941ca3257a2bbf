#include "kernel/sharing/guaranteed_jobs.h"

#include <algorithm>
#include <map>
#include <vector>

#include "kernel/batch/unit_order.h"

namespace eelgrass {

void guaranteed_jobs::Read(const job_table& jobs, const batch_config& config) {
  jobs_.clear();
  std::map<std::string, std::vector<const tracked_job*>> by_owner;
  for (const auto& id : jobs.open()) {
    const tracked_job* job = jobs.Find(id);
    const batch_queue* queue = config.FindQueueByName(job->job.queue);
    if (queue != nullptr && IsUrgent(*queue)) by_owner[job->job.organisation].push_back(job);
  }
  for (auto& [name, owned] : by_owner) {
    const batch_organisation* owner = config.FindOrganisation(name);
    if (owner == nullptr) continue;
    std::stable_sort(owned.begin(), owned.end(),
                     [](const auto* a, const auto* b) { return a->accepted < b->accepted; });
    int64_t left = owner->guaranteed_accelerators;
    for (const auto* job : owned) {
      int64_t need = 0;
      for (const auto& step : job->job.steps) {
        need = std::max(need, step.each.accelerators * step.count);
      }
      left -= need;
      if (left < 0) break;
      jobs_.insert(job->job.id);
    }
  }
}

}  // namespace eelgrass
