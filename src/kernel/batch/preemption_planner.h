/** \file
 * Which runs are stopped to make room for more pressing work.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kernel/batch/capacity_map.h"

namespace eelgrass {

/** Room for a unit: a worker for each member, once these units have stopped. */
struct preemption_choice {
  std::vector<candidate_worker*> place;
  std::set<unit_ref> victims;
};

/**
 * Chooses what has to stop. Jobs of the first priority within their organisation's guarantee may
 * stop anything that is not guaranteed itself: whatever loses the least work. Other jobs of the
 * first priority may stop what is less urgent, as long as that costs others no more work than they
 * have themselves; this answers bursts of short urgent gangs on a cluster that longer work has
 * filled.
 */
class preemption_planner {
 public:
  explicit preemption_planner(capacity_map& capacity);

  /** A new plan begins. */
  void Begin(const planning_view& view);

  /** Whether others may be stopped for a unit: guaranteed, or urgent and still able to be in time.
   */
  bool MayPreemptFor(const ready_unit& unit, const planning_view& view) const;

  /**
   * The cheapest way to make room in some of these rooms, which fit the unit; the victims' room
   * counts as free from now on.
   */
  std::optional<preemption_choice> Plan(const ready_unit& unit,
                                        std::span<candidate_worker* const> candidates,
                                        const planning_view& view);

 private:
  /** Room in some workers with what making it costs. */
  struct option {
    preemption_choice placement;
    double cost = 0;       // to those that are stopped
    double slow_cost = 0;  // to the unit itself, on slow workers
  };

  void ReadGuarantees(const planning_view& view);
  std::optional<option> PlanWithin(const ready_unit& unit,
                                   std::span<candidate_worker* const> candidates,
                                   const planning_view& view);
  bool AddMember(const ready_unit& unit, std::span<candidate_worker* const> candidates,
                 const planning_view& view, option& made);
  double CostOfMember(const ready_unit& unit, const candidate_worker& target,
                      const planning_view& view, const std::set<unit_ref>& chosen,
                      std::set<unit_ref>& victims);
  double PenaltyOfSlowWorker(const ready_unit& unit, const candidate_worker& target,
                             std::span<candidate_worker* const> place) const;
  double CostOf(const unit_ref& unit, const planning_view& view);
  double NewCostOf(const unit_ref& unit, const planning_view& view) const;
  double LossOf(const unit_ref& unit, const planning_view& view) const;
  static double WorkOf(const batch_step& step);
  static bool IsLessUrgent(const unit_ref& victim, const ready_unit& by, const planning_view& view);
  bool MayPreempt(const unit_ref& victim, const ready_unit& by, const planning_view& view) const;
  bool Stopping(const run_record& record) const;
  bool IsUnitRunning(const unit_ref& unit) const;

  capacity_map& capacity_;
  std::map<unit_ref, double> costs_;  // of stopping, in this plan
  std::set<unit_ref> preempted_;      // in this plan
  std::set<std::string> guaranteed_;  // jobs that are within their organisation's guarantee
};

}  // namespace eelgrass
