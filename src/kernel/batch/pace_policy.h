/** \file
 * How far tasks that use idle cores have to hold back for tasks that serve users.
 */
#pragma once

#include <map>
#include <span>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** A run that takes part in pacing, as it was last listed. */
struct paced_run {
  run_ref run;
  int64_t target_ms = 0;   // serving tasks
  int64_t latency_ms = 0;  // serving tasks: tail latency over the last half second
  bool fills = false;
};

/** The share at which a run is to work from now on. */
struct pace_change {
  run_ref run;
  int64_t percent = 100;
};

/**
 * Decides for one worker. As soon as a serving task comes close to its target, everything that
 * fills is cut back, to nothing if need be; it is let back in small steps once all serving tasks
 * have been well below their targets for a while. Answers loads whose mutual disturbance changes
 * within seconds: cutting costs idle work for a moment, a target that is missed costs users.
 */
class pace_policy {
 public:
  std::vector<pace_change> Decide(std::span<const paced_run> runs, millis now);

 private:
  int64_t percent_ = 100;
  millis calm_since_{0};
  millis next_cut_{0};
  std::map<run_ref, int64_t> sent_percents_;
};

}  // namespace eelgrass
