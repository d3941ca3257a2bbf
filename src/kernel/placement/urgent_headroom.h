/** \file
 * Capacity reserved for urgent work.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * Tracks the recent peak demand of urgent work. Urgent work arrives in bursts of short gangs. If
 * longer work fills the cluster, each gang waits for runs to be preempted, and their work is lost.
 * The capacity of recent peaks is therefore kept free, up to a share of the cluster. Amounts are in
 * workers: a member that needs half of a worker's accelerators counts as half a worker.
 */
class urgent_headroom {
 public:
  /** Records the current demand of urgent work, running or ready to run. */
  void Observe(double demand, millis now);

  /** Capacity that less urgent work has to leave free, given the current urgent demand. */
  double Reserved(double demand, double capacity) const;

 private:
  double peak_ = 0;
  millis observed_{0};
};

}  // namespace eelgrass
