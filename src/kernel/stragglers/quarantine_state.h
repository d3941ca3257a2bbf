/** \file
 * What is held against one incarnation of a worker.
 */
#pragma once

#include <cstdint>
#include <string>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Greatest back-off of a quarantined worker. */
inline constexpr millis kLongestBackOff{24000};

/** The quarantine of a worker. It ends with the incarnation or with a successful run. */
struct quarantine_state {
  int strikes = 0;              // stalls and failures since the last successful run
  millis until{INT64_MIN / 4};  // no starts before this
  int64_t failures = 0;         // that led to the latest quarantine; 0: a stall

  /** Whether the worker gets no starts, or only a probe. */
  bool Active(millis now) const { return strikes > 0 || now < until; }

  /** Whether the worker gets one unit at a time, as a probe. */
  bool Probing(millis now) const { return strikes > 0 && now >= until; }

  /**
   * Whether the probe may be urgent. Where only urgent work comes, a worker would otherwise never
   * be used again.
   */
  bool MayProbeUrgent(millis now) const { return now >= until + kLongestBackOff; }
};

/** A counted end of a run: a success, or a failure that is not known to be the system's. */
struct run_outcome {
  std::string worker;
  std::string job;
  bool failed = false;
  bool operator==(const run_outcome&) const = default;
};

}  // namespace eelgrass
