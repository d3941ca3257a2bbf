#include "standins/task_log.h"

namespace eelgrass {

size_t task_log::Add(task_run run) {
  std::lock_guard lock(mutex_);
  runs_.push_back(std::move(run));
  return runs_.size() - 1;
}

void task_log::Opened(size_t index, int64_t at_ms) {
  std::lock_guard lock(mutex_);
  runs_[index].opened_ms = at_ms;
}

void task_log::Ended(size_t index, int64_t at_ms, bool success) {
  std::lock_guard lock(mutex_);
  runs_[index].ended_ms = at_ms;
  runs_[index].success = success;
}

std::vector<task_run> task_log::runs() const {
  std::lock_guard lock(mutex_);
  return runs_;
}

}  // namespace eelgrass
