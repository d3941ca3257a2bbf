#include "kernel/model/job.h"

namespace eelgrass {

std::string_view JobStateName(job_state value) {
  constexpr std::string_view kNames[] = {"queued", "starting", "running",   "stopping", "finished",
                                         "failed", "parked",   "cancelled", "unknown"};
  return kNames[static_cast<int>(value)];
}

bool IsFinal(job_state value) {
  switch (value) {
    case job_state::kFinished:
    case job_state::kFailed:
    case job_state::kCancelled:
    case job_state::kUnknown:
      return true;
    default:
      return false;
  }
}

bool IsActive(job_state value) {
  return value == job_state::kStarting || value == job_state::kRunning ||
         value == job_state::kStopping;
}

}  // namespace eelgrass
