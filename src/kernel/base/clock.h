/** \file
 * Where the time comes from.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/** Source of time, injected so that tests and scenarios run on a virtual clock. */
class clock {
 public:
  virtual ~clock() = default;

  /** Monotonic time; never goes back, also counts while the process is stopped. */
  virtual millis Now() const = 0;

  /** Wall time since 1970-01-01T00:00:00Z, for booked windows and for logs only. */
  virtual millis WallNow() const = 0;
};

}  // namespace eelgrass
