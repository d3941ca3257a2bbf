/** \file
 * Jobs as they are submitted and as their rows in the table service describe them.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/document.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** What a user asks for. */
struct job_spec {
  std::string name;
  std::string organisation;
  std::string job_class;
  int tasks = 1;
  resources per_task;
  adjacency within = adjacency::kAny;
  millis declared_ms{0};  // expected run time
  millis run_ms{0};       // true run time, for worker stand-ins
  bool fails = false;     // fails when run, for worker stand-ins

  bool operator==(const job_spec&) const = default;
  resources total() const { return per_task * tasks; }
};

/** Where a job is in its life. */
enum class job_state {
  kQueued,
  kStarting,  // A planner has claimed a start; the agents may know of it.
  kRunning,
  kStopping,  // Will be queued again after a checkpoint or a stop.
  kFinished,
  kFailed,
  kParked,  // Failed on several workers; waits for its owner.
  kCancelled,
  kUnknown,  // May have finished; its class does not allow another run.
};

std::string_view JobStateName(job_state value);

/** Whether the state is never left again. */
bool IsFinal(job_state value);

/** Whether agents may hold something for the job. */
bool IsActive(job_state value);

/** A job's row. Only a conditional write of the row moves a job from one state to another. */
struct job_row {
  std::string id;
  job_spec spec;
  job_state state = job_state::kQueued;
  int64_t epoch = 0;  // number of starts so far
  bool cancel_wanted = false;
  bool borrowing = false;                   // this start is outside the organisation's guarantee
  int64_t submitted_ms = 0;                 // wall time
  int64_t started_ms = 0;                   // wall time of the last start
  int64_t ended_ms = 0;                     // wall time
  int64_t saved_ms = 0;                     // work kept by checkpoints
  std::vector<gang_member> members;         // of the current start; the first is the anchor
  int64_t anchor_incarnation = 0;           // of the first member's agent
  std::vector<std::string> failed_workers;  // distinct workers on which it failed
  std::string reason;
  bool operator==(const job_row&) const = default;
};

}  // namespace eelgrass
