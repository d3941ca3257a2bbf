/** \file
 * Decides which units start on which workers, and which runs are preempted for them.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kernel/batch/unit_order.h"
#include "kernel/placement/availability.h"
#include "kernel/placement/capacity_map.h"
#include "kernel/placement/start_plan.h"
#include "kernel/preemption/preemption_planner.h"
#include "kernel/sharing/guaranteed_jobs.h"

namespace eelgrass {

/**
 * Assigns the ready units, in order, to the workers with the tightest fit. Where a unit does not
 * fit, other runs may be preempted. Runs whose worker leaves before they can end are stopped early,
 * so that they can run elsewhere.
 */
class start_planner {
 public:
  explicit start_planner(const unit_order& order);

  start_plan Plan(const planning_view& view);

 private:
  /** Room held in this plan at one service. */
  struct service_holds {
    int held = 0;
    int searches = 0;
  };

  static std::optional<std::map<int, std::string>> BoundMembers(const ready_unit& unit,
                                                                const planning_view& view);
  static void KeepBoundWorker(const ready_unit& unit, std::vector<candidate_worker*>& candidates);
  void MoveFromLeavingWorkers(const planning_view& view, start_plan& plan) const;
  std::vector<ready_unit> Ready(const planning_view& view) const;
  std::optional<std::vector<candidate_worker*>> Place(const ready_unit& unit,
                                                      std::span<candidate_worker* const> candidates,
                                                      const planning_view& view);
  std::optional<std::vector<candidate_worker*>> PlaceIn(
      const ready_unit& unit, std::span<candidate_worker* const> candidates);
  static int64_t MostMembersOn(const ready_unit& unit, const candidate_worker& candidate,
                               int64_t most);
  std::optional<std::vector<candidate_worker*>> PlaceInOneRack(
      const ready_unit& unit, std::span<candidate_worker* const> candidates,
      const planning_view& view);
  std::optional<std::vector<candidate_worker*>> PlacePreempting(
      const ready_unit& unit, std::span<candidate_worker* const> candidates,
      const planning_view& view, start_plan& plan);
  bool HoldForTurn(const ready_unit& unit, const planning_view& view, start_plan& plan);
  std::vector<candidate_worker*> PlaceByPreemption(const ready_unit& unit,
                                                   std::vector<candidate_worker*> candidates,
                                                   const planning_view& view);
  void AddAdviceWish(const ready_unit& unit, std::span<candidate_worker* const> candidates,
                     const std::optional<std::vector<candidate_worker*>>& room,
                     const planning_view& view, start_plan& plan);
  static bool CanHold(const ready_unit& unit, std::span<candidate_worker* const> candidates);
  static bool AnyRackCanHold(const ready_unit& unit, std::span<candidate_worker* const> candidates);
  void Assign(const ready_unit& unit, std::span<candidate_worker* const> candidates,
              const planning_view& view, start_plan& plan);

  static bool Patient(const ready_unit& unit, const planning_view& view);
  static std::vector<candidate_worker*> NearData(const ready_unit& unit,
                                                 std::span<candidate_worker* const> candidates);
  static bool GoneBefore(const ready_unit& unit, const candidate_worker& worker);
  void Hold(const ready_unit& unit, std::span<candidate_worker* const> candidates,
            const planning_view& view);
  void HoldPlace(const ready_unit& unit, std::span<candidate_worker* const> place, millis starts_in,
                 const planning_view& view);

  const unit_order& order_;
  guaranteed_jobs guaranteed_;
  capacity_map capacity_;
  std::map<std::string, service_holds> holds_;  // by service, in this plan
  std::set<unit_ref> held_;                     // units for which room is held, in this plan
  std::set<unit_ref> held_before_;              // in the previous plan
  preemption_planner preemption_;
  availability availability_;
};

}  // namespace eelgrass
