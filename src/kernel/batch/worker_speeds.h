/** \file
 * Measures the relative speed of workers.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/** The speed of a worker compared with the median worker. */
enum class worker_pace { kTypical, kSlow, kVerySlow };

/**
 * Learns from ended runs which workers take longer than others for the same work. Tasks of one step
 * are compared with each other, since their estimate is off by the same factor; only the first ends
 * of a step are compared with the estimate. Gangs are not used, as all their members end together.
 * Durations are compared as logarithms, so that twice and half as long have the same weight.
 */
class worker_speeds {
 public:
  /** Records a successful task that did all its work on this worker at full speed. */
  void Learn(std::string_view worker, step_state& step, millis estimate, millis took);

  worker_pace Pace(std::string_view worker) const;

  /** Removes workers that are not in the pool, so that others are not compared with them. */
  void Retain(const worker_pool& pool);

 private:
  struct record {
    double factor = 0;  // log(actual / expected duration)
    int ends = 0;
    worker_pace pace = worker_pace::kTypical;
  };

  void ClassifyAll();
  worker_pace Classify(const record& known) const;

  std::map<std::string, record, std::less<>> workers_;
  double median_ = 0;  // median factor of all workers
};

}  // namespace eelgrass
