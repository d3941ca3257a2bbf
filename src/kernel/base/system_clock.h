/** \file
 * The clock of the machine.
 */
#pragma once

#include "kernel/base/clock.h"

namespace eelgrass {

/** Reads CLOCK_BOOTTIME, so that leases also run out while a VM is suspended. */
class system_clock : public clock {
 public:
  millis Now() const override;
  millis WallNow() const override;
};

}  // namespace eelgrass
