/** \file
 * Batch jobs: steps of tasks that run on workers, as callers hand them in.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/amounts.h"

namespace eelgrass {

/** A set of equal tasks of a batch job. */
struct batch_step {
  int count = 1;  // tasks
  amounts each;
  millis estimate{0};      // caller's estimate of one task's duration
  std::vector<int> after;  // steps that have to be done first
  bool checkpoints = false;
  bool gang = false;          // the tasks work only all together
  bool same_rack = false;     // slower by remote_factor when spread over racks
  bool speculative = false;   // copies of a task may run in parallel
  bool long_running = false;  // runs until the job is cancelled
  bool fills = false;         // uses cores that other tasks leave idle; cpu is not reserved
  std::string required_label;
  std::string data_rack;   // slower by remote_factor elsewhere
  int max_per_worker = 0;  // tasks of one occurrence; 0: no bound
  std::string image;
  millis latency_target{0};  // long-running tasks that serve their own users
  int may_miss = 0;          // tasks that may be away at once because of the system
};

/** A batch job as it was accepted. */
struct batch_job {
  std::string id;
  std::string queue;
  std::string organisation;
  std::string spec;  // opaque to the system; handed to every task
  std::vector<batch_step> steps;
  int occurrences = 0;    // scheduled runs of all steps; 0: once, at once
  millis first_start{0};  // wall time of occurrence 0
  millis interval{0};     // between occurrences

  /** The newest term when it was accepted: no planner of an earlier term has started it. */
  int64_t accepted_term = 0;

  /** When it was handed in, by the store's clock; 0: not known. */
  millis handed_in{0};
};

/** Names one task of a job. */
struct task_ref {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  auto Tie() const { return std::tie(job, occurrence, step, index); }
  bool operator==(const task_ref& other) const { return Tie() == other.Tie(); }
  bool operator<(const task_ref& other) const { return Tie() < other.Tie(); }
};

/** ID.OCCURRENCE.STEP.INDEX, for logs and wherever tasks need one word. */
std::string ToText(const task_ref& task);

/** The inverse of ToText; false for any other text. */
bool ParseTask(std::string_view text, task_ref& task);

/** What callers are told about a job. */
enum class batch_state { kPending, kRunning, kCompleted, kFailed, kCancelled };

/** Name of the state in logs and rows. */
std::string_view BatchStateName(batch_state state);

inline bool IsFinal(batch_state state) {
  return state != batch_state::kPending && state != batch_state::kRunning;
}

}  // namespace eelgrass
