/** \file
 * Tells operators which steps wait for tickets.
 */
#pragma once

#include <set>
#include <span>
#include <string>
#include <vector>

#include "kernel/advice/advice_turns.h"
#include "kernel/placement/planning_view.h"

namespace eelgrass {

/** Metrics of the tickets of one term. */
struct ticket_statistics {
  int64_t waiting = 0;       // steps that could start with more tickets
  millis longest_wait{0};    // of these, since they were ready or had their last turn
  int64_t unattainable = 0;  // steps that cannot get their tickets, see advice_monitor
  int64_t failed_calls = 0;
};

/**
 * Counts the steps that wait, and logs those that cannot get their tickets: they need more workers
 * than one call may name and the first tickets would expire during the calls for the others, or too
 * few allowed workers are there.
 */
class advice_monitor {
 public:
  /** Observes the steps that wait; returns those that can get their tickets. */
  std::vector<const advice_wish*> Observe(std::span<const advice_wish> wishes,
                                          const advice_turns& turns, const planning_view& view);
  void CountFailedCall() { ++stats_.failed_calls; }

  /** Forgets the steps of the last term. */
  void Reset();

  const ticket_statistics& stats() const { return stats_; }

 private:
  bool Attainable(const advice_wish& wish, const batch_queue& queue) const;

  std::set<std::string> reported_;  // unattainable steps that were logged
  ticket_statistics stats_;
};

}  // namespace eelgrass
