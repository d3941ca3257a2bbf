/** \file
 * Measures the relative speed of workers.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/learning/rate_comparison.h"
#include "kernel/learning/run_progress.h"

namespace eelgrass {

/** The speed of a worker compared with the median worker. */
enum class worker_pace { kTypical, kSlow, kVerySlow };

/** How much longer a worker takes than the typical one. */
struct worker_speed {
  double slowdown = 1;  // below 1: faster than the typical worker
  bool known = false;   // to within a quarter or so
};

/** A known speed that rests on measurements of this process. */
struct measured_speed {
  std::string_view vm;
  double slowness = 0;   // logarithm, relative to the typical VM
  double deviation = 0;  // standard deviation of that
  millis measured{0};    // latest measurement
};

/**
 * Learns from the rates of running tasks how fast each VM is, and from ended runs which workers
 * take longer than others for the same work. Tasks of one step are compared with each other, since
 * their estimate is off by the same factor; only the first ends of a step are compared with the
 * estimate. Gangs are not used, as all their members end together. Durations are compared as
 * logarithms, so that twice and half as long have the same weight.
 */
class worker_speeds {
 public:
  /** Records a successful task that did all its work on this worker at full speed. */
  void Learn(std::string_view worker, step_state& step, millis estimate, millis took);

  /**
   * Records the rate at which a run works on a worker. Members of a gang have equal work, so that
   * their rates compare the workers exactly; tasks of one step have about the same work.
   */
  void ObserveRate(const worker_profile& worker, const batch_step& step, const unit_ref& unit,
                   const run_ref& run, const work_rate& rate, millis now);

  /** Recomputes the speeds from the observed rates. */
  void Update(millis now);

  /** The speed by observed rates; it belongs to the VM, whatever worker lives there. */
  worker_speed SpeedOf(const worker_profile& worker) const;

  /** The greatest slowdown among the workers whose speed is known; 1 if there are none. */
  double greatest_slowdown() const { return greatest_slowdown_; }

  /** The number of VMs whose speed is known. */
  int64_t known() const { return known_; }

  /** The known speeds that do not rest on priors alone; valid until the next change. */
  std::vector<measured_speed> Measured() const;

  /** The pace by observed rates, or else by ended runs. */
  worker_pace Pace(const worker_profile& worker) const;

  /** The pace by ended runs only. */
  worker_pace Pace(std::string_view worker) const;

  const rate_comparison& rates() const { return rates_; }
  rate_comparison& rates() { return rates_; }

  /**
   * Removes workers that are not in the pool, so that others are not compared with them. The speed
   * of a VM is kept, in case it returns, but the typical VM is one of those in the pool.
   */
  void Retain(const worker_pool& pool);

 private:
  struct record {
    double factor = 0;  // log(actual / expected duration)
    int ends = 0;
    worker_pace pace = worker_pace::kTypical;
  };

  bool Counts(std::string_view vm, const machine_slowness& estimate) const;
  void ClassifyAll();
  worker_pace Classify(const record& known) const;

  std::map<std::string, record, std::less<>> workers_;
  double median_ = 0;  // median factor of all workers
  rate_comparison rates_;
  double typical_ = 0;  // slowness of the typical VM
  double greatest_slowdown_ = 1;
  int64_t known_ = 0;
  std::optional<std::set<std::string, std::less<>>> present_;  // VMs in the pool; none: all
  std::map<std::string, double, std::less<>> logged_;  // known slowness when last logged, by VM
};

}  // namespace eelgrass
