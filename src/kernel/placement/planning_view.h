/** \file
 * The input of planning.
 */
#pragma once

#include <set>
#include <string>

#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/learning/worker_speeds.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

class ticket_cache;
class usage_ledger;

/** The state from which a plan is made. */
struct planning_view {
  const job_table& jobs;
  const worker_pool& pool;
  const batch_config& config;
  const std::set<std::string>& evacuated;
  const worker_speeds& speeds;
  const ticket_cache* advice = nullptr;  // placement tickets, for queues whose policy requires them
  millis now{0};
  int64_t least_term = 0;               // only jobs accepted in this term or a later one may start
  millis confirmed{0};                  // time up to which the term is known to have been held
  const usage_ledger* usage = nullptr;  // use of the services by organisation

  /** The queue of a job; nullptr if the job or the queue is unknown. */
  const batch_queue* QueueOf(const tracked_job* job) const {
    return job == nullptr ? nullptr : config.FindQueueByName(job->job.queue);
  }
};

}  // namespace eelgrass
