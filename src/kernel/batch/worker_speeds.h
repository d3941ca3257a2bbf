/** \file
 * How fast each worker turned out to be.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/** How a worker's speed compares with that of most others. */
enum class worker_pace { kTypical, kSlow, kVerySlow };

/**
 * Learns from ended runs which workers take longer than others for the same work. Tasks of one step
 * are compared with each other, as their estimate is off by the same factor; only the first ends of
 * a step are held against the estimate. Gangs say nothing: all of their members end together. All
 * times are compared as logarithms, so that twice as long and half as long weigh the same.
 */
class worker_speeds {
 public:
  /** A task has ended well that did all its work at this worker, not held up by others. */
  void Learn(std::string_view worker, step_state& step, millis estimate, millis took);

  worker_pace Pace(std::string_view worker) const;

  /** Forgets workers that are not in the pool: the others are no longer compared with them. */
  void Retain(const worker_pool& pool);

 private:
  struct record {
    double factor = 0;  // logarithm of the time that it takes against the expected one
    int ends = 0;
    worker_pace pace = worker_pace::kTypical;
  };

  void ClassifyAll();
  worker_pace Classify(const record& known) const;

  std::map<std::string, record, std::less<>> workers_;
  double median_ = 0;  // median factor
};

}  // namespace eelgrass
