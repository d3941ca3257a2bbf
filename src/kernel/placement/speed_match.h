/** \file
 * Judges which worker speeds a unit can bear.
 */
#pragma once

#include "kernel/placement/capacity_map.h"

namespace eelgrass {

/**
 * Handles workers with different speeds. A unit is kept away from the workers on which
 * it is predicted to miss its job's objective, as long as others have room. Where every known
 * worker is fast enough for a unit, speeds change nothing for it.
 */
class speed_match {
 public:
  speed_match(const ready_unit& unit, const planning_view& view);

  /**
   * Rank of a worker for the unit, smaller is better: in time or not known to matter, unknown speed
   * while some workers are known to be too slow, predicted late.
   */
  int Rank(const candidate_worker& candidate) const;

  /** Whether the unit would be late on some worker whose speed is known, but not on a typical one.
   */
  bool sensitive() const { return sensitive_; }

 private:
  double greatest_in_time_ = 0;  // slowdown with which the unit still ends in time
  bool sensitive_ = false;
};

}  // namespace eelgrass
