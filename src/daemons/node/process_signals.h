/** \file
 * Waiting for SIGTERM, SIGINT and SIGHUP.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/** What a signal asks of the process. */
enum class signal_request { kNone, kStop, kReload };

/** Blocks the signals in every thread, so that the main thread can wait for them. */
class process_signals {
 public:
  /** Must be made before any thread is started. */
  process_signals();

  /** Waits until a stop signal comes or the time is over; true for a signal. */
  bool WaitFor(millis time) const;

  /** Waits for a signal to stop or to read the settings again (SIGHUP), up to a time. */
  signal_request Next(millis time) const;

  /** Waits until a stop signal comes. */
  void Wait() const;
};

}  // namespace eelgrass
