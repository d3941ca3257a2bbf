/** \file
 * Waiting for SIGTERM and SIGINT.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/** Blocks the stop signals in every thread, so that the main thread can wait for them. */
class process_signals {
 public:
  /** Must be made before any thread is started. */
  process_signals();

  /** Waits until a stop signal comes or the time is over; true for a signal. */
  bool WaitFor(millis time) const;

  /** Waits until a stop signal comes. */
  void Wait() const;
};

}  // namespace eelgrass
