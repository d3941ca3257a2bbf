/** \file
 * How long a worker has been listing a run without any progress.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Lists that were older than this when they arrived, or are older now, tell nothing of a stall. */
inline constexpr millis kFreshListing{1500};

/**
 * Follows the percentages that a worker lists for one run, including those of 98 or more, which
 * run_progress leaves out. Addresses workers on which tasks stand still while the worker responds.
 * Time without lists is not counted as standing still.
 */
class listing_watch {
 public:
  /**
   * Records that `percent` was listed at `at`; `rate` is the measured rate in percent per second,
   * if there is one. Lists that are not fresh at `now` are ignored.
   */
  void Observe(int64_t percent, millis at, std::optional<double> rate, millis now);

  /** The latest percentage; -1 before the first one. */
  int64_t percent() const { return percent_; }
  millis listed_at() const { return listed_at_; }
  millis first_listed_at() const { return first_at_; }
  millis advanced_at() const { return advanced_at_; }

  /** Whether the percentage has risen since the first listing. */
  bool advanced() const { return percent_ > first_percent_; }

  /** The time covered by listings without progress up to the latest one. */
  millis standing() const { return standing_; }

  /** The rate measured when the percentage last rose. */
  std::optional<double> earlier_rate() const { return rate_; }

  /** The average rate from the first listing to the last rise, whose error may be large. */
  std::optional<double> average_rate() const;

 private:
  int64_t percent_ = -1;
  int64_t first_percent_ = -1;
  millis first_at_{0};
  millis listed_at_{INT64_MIN / 4};
  millis advanced_at_{0};
  millis standing_{0};
  std::optional<double> rate_;
};

}  // namespace eelgrass
