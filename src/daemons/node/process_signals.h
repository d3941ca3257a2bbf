/** \file
 * Waiting for SIGTERM, SIGINT and SIGHUP.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/** What a received signal requests of the process. */
enum class signal_request { kNone, kStop, kReload };

/** Blocks the signals in every thread, so that the main thread can wait for them. */
class process_signals {
 public:
  /** Must be constructed before any thread is started, because threads inherit the mask. */
  process_signals();

  /** Waits for a stop signal for up to `time`. Returns whether one was received. */
  bool WaitFor(millis time) const;

  /** Waits up to `time` for a signal to stop or to reload the settings (SIGHUP). */
  signal_request Next(millis time) const;

  /** Waits until a stop signal is received. */
  void Wait() const;
};

}  // namespace eelgrass
