/** \file
 * What the worker stand-ins have run, for the checks.
 */
#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace eelgrass {

/** One gang's part on one worker. */
struct task_run {
  std::string worker;
  std::string job;
  int64_t epoch = 0;
  int tasks = 0;
  int64_t opened_ms = 0;  // monotonic; 0: the gate was never opened
  int64_t ended_ms = 0;   // 0: still runs
  bool success = false;
  int64_t started_ms = 0;  // when the tasks were started behind the gate
};

/** Shared by all workers of one stand-in process. */
class task_log {
 public:
  /** Adds a run and returns its index. */
  size_t Add(task_run run);
  void Opened(size_t index, int64_t at_ms);
  void Ended(size_t index, int64_t at_ms, bool success);
  std::vector<task_run> runs() const;

 private:
  mutable std::mutex mutex_;
  std::vector<task_run> runs_;
};

}  // namespace eelgrass
