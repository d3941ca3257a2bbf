/** \file
 * Compares the work of a job's tasks with the caller's estimates.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * Mean ratio of measured to estimated work over the runs of one job. Ratios are averaged as
 * logarithms, so that a task that takes several times as long as the others has little weight.
 */
class measured_work {
 public:
  /** Records the work of a run on a typical worker, next to its estimate. */
  void Record(millis estimate, double work_ms);

  /** Measured by estimated work, together with what is expected of the job. */
  double ratio() const;

  /** Sets what is expected of the job. */
  void Expect(double ratio) { expected_ = ratio; }

  bool known() const { return runs_ > 0; }

 private:
  double expected_ = 1;
  double log_sum_ = 0;
  int runs_ = 0;
};

}  // namespace eelgrass
