/** \file
 * Predicts when room becomes free.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "kernel/placement/capacity_map.h"
#include "kernel/preemption/preemption_planner.h"

namespace eelgrass {

/** Where and when a unit is predicted to fit. */
struct future_place {
  millis at{0};
  std::vector<candidate_worker*> workers;  // one for each member
};

/**
 * Handles gangs that wait while single tasks pass them: predicts when a unit fits
 * without preemption, from the remaining time of the running units. A gang's room becomes free when
 * its slowest member is done.
 */
class availability {
 public:
  availability(const capacity_map& capacity, const preemption_planner& preemption)
      : capacity_(capacity), preemption_(preemption) {}

  /** Forgets the previous plan's predictions. */
  void Begin() { ends_.clear(); }

  /**
   * The earliest time, at most `horizon`, at which all members fit on these workers together;
   * `one_rack`: within one rack. Workers on which room is held already are left out.
   */
  std::optional<future_place> Earliest(const ready_unit& unit,
                                       std::span<candidate_worker* const> candidates,
                                       const planning_view& view, millis horizon, bool one_rack);

  /** A worker's room at a time, once the runs that are predicted to end until then have ended. */
  amounts RoomAt(const candidate_worker& worker, const planning_view& view, millis at);

 private:
  /** Room for one more member on a worker from a time on. */
  struct opening {
    millis at{0};
    candidate_worker* worker = nullptr;
  };

  millis EndOf(const unit_ref& unit, const planning_view& view);
  void AddOpenings(const ready_unit& unit, candidate_worker& worker, const planning_view& view,
                   millis horizon, std::vector<opening>& openings);

  const capacity_map& capacity_;
  const preemption_planner& preemption_;
  std::map<unit_ref, millis> ends_;
};

}  // namespace eelgrass
