/** \file
 * Limits tasks that use idle cores in favour of tasks that serve users.
 */
#pragma once

#include <map>
#include <span>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** A run that is paced or causes pacing, as last listed. */
struct paced_run {
  run_ref run;
  int64_t target_ms = 0;   // serving tasks
  int64_t latency_ms = 0;  // serving tasks: tail latency over the last half second
  bool fills = false;
};

/** The new share at which a run may work. */
struct pace_change {
  run_ref run;
  int64_t percent = 100;
};

/**
 * Decides for one worker. As soon as a serving task's latency comes close to its target, all runs
 * that fill idle cores are cut back, to 0 if necessary. Their share is raised in small steps once
 * all serving tasks have been well below their targets for a while. Interference between loads
 * changes within seconds; a cut only delays idle work, while a missed target affects users.
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
