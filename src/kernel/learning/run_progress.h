/** \file
 * Measures how fast one run works.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "kernel/base/millis.h"

namespace eelgrass {

/** How fast a run works. */
struct work_rate {
  double percent_per_second = 0;
  double error = 0;  // standard deviation, as a share of the rate

  /** Time that the whole work takes at this rate. */
  double whole_ms() const { return 100 * 1000 / percent_per_second; }
};

/**
 * Measures the speed of a run from the percentage of its work that its worker lists as done. The
 * measurement covers the latest seconds only, so that it follows a worker that turns slow or
 * recovers. Runs that list no progress, or all of it from the start, are never measured.
 */
class run_progress {
 public:
  /** Records that `percent` of the work was done at `at`. Earlier observations are ignored. */
  void Observe(int64_t percent, millis at);

  /** The present rate; none until enough progress was observed. */
  std::optional<work_rate> rate() const;

  /** Time from `now` until the work is done at the present rate; none without a rate. */
  std::optional<millis> Remaining(millis now) const;

  /** The latest percentage; -1 before the first one. */
  int64_t percent() const { return samples_.empty() ? -1 : samples_.back().percent; }

  /** For how long the worker has been listing the run without any progress; 0 at the first time. */
  millis Stalled() const;

 private:
  struct sample {
    int64_t percent = 0;
    millis at{0};
  };

  std::deque<sample> samples_;
  millis advanced_{0};  // when the percentage was first listed
};

}  // namespace eelgrass
