/** \file
 * Chooses the runs that are preempted for more urgent work.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kernel/placement/capacity_map.h"
#include "kernel/sharing/guaranteed_jobs.h"

namespace eelgrass {

/** A placement that becomes possible once the victims have stopped: a worker for each member. */
struct preemption_choice {
  std::vector<candidate_worker*> place;
  std::set<unit_ref> victims;
  double lost_work = 0;  // of the victims, weighted, in thousandths of a core times milliseconds
};

/**
 * Chooses victims for preemption. Jobs of the first priority within their organisation's guarantee
 * may preempt any run that is not guaranteed itself, at the least loss of work. Other jobs of the
 * first priority may preempt less urgent work if that costs no more work than they contain. This
 * serves bursts of short urgent gangs on a cluster that is full of longer work.
 */
class preemption_planner {
 public:
  preemption_planner(capacity_map& capacity, const guaranteed_jobs& guaranteed);

  /** Resets the state of the previous plan. */
  void Begin();

  /**
   * Whether a unit may preempt others: its job is guaranteed, or is urgent and can still end
   * within kLateFactor times its objective.
   */
  bool MayPreemptFor(const ready_unit& unit, const planning_view& view) const;

  /** Whether a run is stopping or is a victim in this plan, so that its room counts as free. */
  bool Stopping(const run_record& record) const;

  /** The cheapest preemption that lets the unit run on some of these workers, if there is one. */
  std::optional<preemption_choice> Cheapest(const ready_unit& unit,
                                            std::span<candidate_worker* const> candidates,
                                            const planning_view& view);

  /**
   * Chooses the cheapest preemption. From then on the victims' resources count as free in the
   * capacity map.
   */
  std::optional<preemption_choice> Plan(const ready_unit& unit,
                                        std::span<candidate_worker* const> candidates,
                                        const planning_view& view);

 private:
  /** A preemption with its cost. */
  struct option {
    preemption_choice placement;
    double cost = 0;       // work lost by the victims
    double slow_cost = 0;  // delay of the unit itself on slow workers
  };

  std::optional<option> PlanWithin(const ready_unit& unit,
                                   std::span<candidate_worker* const> candidates,
                                   const planning_view& view);
  bool AddMember(const ready_unit& unit, std::span<candidate_worker* const> candidates,
                 const planning_view& view, option& choice);
  double CostOfMember(const ready_unit& unit, const candidate_worker& target,
                      const planning_view& view, const std::set<unit_ref>& chosen,
                      std::set<unit_ref>& victims);
  double PenaltyOfSlowWorker(const ready_unit& unit, const candidate_worker& target,
                             std::span<candidate_worker* const> place) const;
  double CostOf(const unit_ref& unit, const planning_view& view);
  double NewCostOf(const unit_ref& unit, const planning_view& view) const;
  double LossOf(const unit_ref& unit, const planning_view& view) const;
  static double WorkOf(const tracked_job& job, const batch_step& step);
  static bool IsLessUrgent(const unit_ref& victim, const ready_unit& by, const planning_view& view);
  bool MayPreempt(const unit_ref& victim, const ready_unit& by, const planning_view& view) const;
  bool IsUnitRunning(const unit_ref& unit) const;

  capacity_map& capacity_;
  const guaranteed_jobs& guaranteed_;
  std::map<unit_ref, double> costs_;  // cost of stopping each unit, in this plan
  std::set<unit_ref> preempted_;      // victims in this plan
};

}  // namespace eelgrass
