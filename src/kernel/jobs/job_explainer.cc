#include "kernel/jobs/job_explainer.h"

#include <algorithm>

namespace eelgrass {

job_explainer::job_explainer(const job_rows& rows, const cluster& machines,
                             const serving_workers& serving)
    : rows_(rows), machines_(machines), serving_(serving) {}

job_explanation job_explainer::Explain(const job_row& row, bool starting) const {
  job_explanation explanation;
  explanation.state = JobStateName(row.state);
  explanation.needs = std::to_string(row.spec.tasks) + " tasks of " +
                      std::to_string(row.spec.per_task.accelerators) + " accelerators within one " +
                      std::string(AdjacencyName(row.spec.within));
  if (row.state == job_state::kParked) {
    explanation.why =
        "failed on " + std::to_string(row.failed_workers.size()) + " workers: " + row.reason;
    return explanation;
  }
  if (row.state != job_state::kQueued) {
    explanation.why = row.reason.empty() ? "the job is not waiting" : row.reason;
    return explanation;
  }
  explanation.position = Position(row);
  if (starting) {
    explanation.why = "borrowing jobs are being stopped to make capacity for it";
    return explanation;
  }
  explanation.why = DescribeFreeCapacity(row);
  if (!row.reason.empty()) explanation.why += "; last: " + row.reason;
  return explanation;
}

int job_explainer::Position(const job_row& row) const {
  return static_cast<int>(std::count_if(rows_.begin(), rows_.end(), [&](const auto& other) {
    return other.second.state == job_state::kQueued &&
           other.second.submitted_ms <= row.submitted_ms;
  }));
}

std::string job_explainer::DescribeFreeCapacity(const job_row& row) const {
  resources free;
  int tasks = 0;
  for (const auto& [id, worker] : machines_.workers()) {
    if (!serving_.usable().contains(id)) continue;
    free += worker.free();
    tasks = std::max(tasks, CountFitting(row.spec.per_task, worker.free(), row.spec.tasks));
  }
  return std::to_string(std::max(0, free.accelerators)) +
         " accelerators are free on usable workers, at most " + std::to_string(tasks) +
         " of its tasks fit on one worker; it starts when its " +
         "organisation's guarantee or enough adjacent capacity is free";
}

}  // namespace eelgrass
