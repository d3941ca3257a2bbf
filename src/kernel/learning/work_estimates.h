/** \file
 * Learns how much work the jobs of a queue really are.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * Handles jobs whose estimates are far off. For each queue it learns how much the work
 * of its tasks varies and how far its callers' estimates are from it. A prediction weighs both:
 * with estimates that are worse than the queue's usual work it is close to the usual work, with
 * good estimates it is close to the estimate.
 */
class work_estimates {
 public:
  /** Records the work of one step's tasks on a typical worker, next to its estimate. */
  void Record(std::string_view queue, millis estimate, double work_ms);

  /** Predicted by estimated work; 1 as long as too little is known of the queue. */
  double Ratio(std::string_view queue, millis estimate) const;

 private:
  /** Mean and variance with exponentially decreasing weights. */
  struct moments {
    double mean = 0;
    double variance = 0;

    void Add(double value, double rate);
  };
  struct record {
    moments work;   // log(work in ms)
    moments error;  // log(work / estimate)
    int steps = 0;
  };

  std::map<std::string, record, std::less<>> queues_;
};

}  // namespace eelgrass
