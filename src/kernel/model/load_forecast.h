/** \file
 * What the planner predicts about waiting, for the entries that accept jobs.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/model/amounts.h"

namespace eelgrass {

/** When a job that is handed in to a queue now would begin, and how long its work takes. */
struct queue_forecast {
  std::string queue;
  int64_t wait_ms = 0;       // a job of typical width begins after this time
  int64_t wide_wait_ms = 0;  // a job of large width, see IsWide
  int64_t work_ms = 0;       // mean critical path of the queue's open jobs; ends are begin + work
  amounts worker;            // capacity of the largest worker, to judge a job's width
  bool operator==(const queue_forecast&) const = default;
};

/** Accelerators that an organisation's open jobs of the first priority need. */
struct urgent_usage {
  std::string organisation;
  int64_t accelerators = 0;
  bool operator==(const urgent_usage&) const = default;
};

/** Planner to entries: the load of all queues. */
struct load_forecast {
  int64_t term = 0;
  int64_t created_ms = 0;  // planner's steady clock
  int64_t age_ms = 0;      // of the planner's input when the message is sent
  std::vector<queue_forecast> queues;
  std::vector<urgent_usage> urgent;  // organisations without such jobs are left out
};

}  // namespace eelgrass
