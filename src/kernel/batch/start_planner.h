/** \file
 * Decides which units start where, and which runs have to make room.
 */
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "kernel/batch/capacity_map.h"
#include "kernel/batch/preemption_planner.h"
#include "kernel/batch/start_plan.h"
#include "kernel/batch/unit_order.h"

namespace eelgrass {

/**
 * Goes through the ready units in order and gives each the tightest place that it fits into. Where
 * none does, others may have to make room. Runs whose worker leaves before they can end are given
 * up in time.
 */
class start_planner {
 public:
  explicit start_planner(const unit_order& order);

  start_plan Plan(const planning_view& view);

 private:
  void MoveFromLeavingWorkers(const planning_view& view, start_plan& plan) const;
  std::vector<ready_unit> Ready(const planning_view& view) const;
  std::optional<std::vector<candidate_worker*>> Place(const ready_unit& unit,
                                                      std::span<candidate_worker* const> candidates,
                                                      const planning_view& view);
  std::optional<std::vector<candidate_worker*>> PlaceIn(
      const ready_unit& unit, std::span<candidate_worker* const> candidates);
  std::optional<std::vector<candidate_worker*>> PlaceInOneRack(
      const ready_unit& unit, std::span<candidate_worker* const> candidates);
  std::optional<std::vector<candidate_worker*>> PlacePreempting(
      const ready_unit& unit, std::span<candidate_worker* const> candidates,
      const planning_view& view, start_plan& plan);
  static bool AnyRackCanHold(const ready_unit& unit, std::span<candidate_worker* const> candidates);
  void Assign(const ready_unit& unit, std::span<candidate_worker* const> candidates,
              const planning_view& view, start_plan& plan);

  const unit_order& order_;
  capacity_map capacity_;
  preemption_planner preemption_;
};

}  // namespace eelgrass
