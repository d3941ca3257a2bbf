/** \file
 * Keeps work away from workers on which runs stand still or fail.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/**
 * Finds workers on which runs of different jobs fail, and quarantines these and the workers of
 * stalled runs. Addresses faulty workers that end many gangs, each of which fails there only once.
 * A quarantined worker gets no starts for a back-off period and then one unit as a probe; a
 * successful run ends the quarantine.
 */
class worker_quarantine {
 public:
  /** Applies the ends of runs, in their order, and quarantines the workers at fault. */
  void Observe(std::span<const run_outcome> outcomes, worker_pool& pool, millis now);

  /**
   * Quarantines a worker for its stall unless it is in quarantine already. Returns false if too
   * many workers of its service are.
   */
  bool OnStall(std::string_view worker, worker_pool& pool, millis now);

  /** Number of times that a worker was quarantined, by this process. */
  int64_t total() const { return total_; }

 private:
  struct failure {
    std::string worker;
    std::string job;
    millis at{0};
  };
  /** Ends within one second. */
  struct interval {
    millis begin{0};
    int64_t ended = 0;
    int64_t failed = 0;
  };

  void Count(const run_outcome& outcome, millis now);
  bool Impose(pool_worker& worker, std::string_view reason, int64_t failures,
              const worker_pool& pool, millis now);
  void ForgetFailures(std::string_view worker);

  std::deque<failure> failures_;
  std::deque<interval> ends_;
  std::set<std::string> full_;  // services whose limit was reached in this decision
  int64_t total_ = 0;
};

}  // namespace eelgrass
