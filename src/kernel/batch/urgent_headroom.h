/** \file
 * How much room less urgent work leaves free for urgent work that may come.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * Learns how much room urgent work has needed at once lately. Urgent work comes in bursts of short
 * gangs; if all room is filled with longer work, each of them waits for runs to be stopped and
 * what those have done is lost. Room that recent peaks have needed is therefore left free, up to a
 * share of the cluster. Amounts are in workers: a member that needs half of a worker's accelerators
 * counts as half a worker.
 */
class urgent_headroom {
 public:
  /** Takes note of what urgent work needs now, running or ready to run. */
  void Observe(double demand, millis now);

  /** What less urgent work has to leave free, given what urgent work needs now. */
  double Reserved(double demand, double capacity) const;

 private:
  double peak_ = 0;
  millis observed_{0};
};

}  // namespace eelgrass
