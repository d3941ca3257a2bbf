/** \file
 * What a plan is made from.
 */
#pragma once

#include <set>
#include <string>

#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/batch/worker_speeds.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

class ticket_cache;

/** What the planner looks at. */
struct planning_view {
  const job_table& jobs;
  const worker_pool& pool;
  const batch_config& config;
  const std::set<std::string>& evacuated;
  const worker_speeds& speeds;
  const ticket_cache* advice = nullptr;  // for queues whose policy demands it
  millis now{0};
  int64_t least_term = 0;  // only jobs accepted under this term or a later one may start
  millis confirmed{0};     // the term was certainly held then

  /** The queue of a job; nullptr when either is not known. */
  const batch_queue* QueueOf(const tracked_job* job) const {
    return job == nullptr ? nullptr : config.FindQueueByName(job->job.queue);
  }
};

}  // namespace eelgrass
