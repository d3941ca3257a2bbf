/** \file
 * Decides which units start where, and which runs have to make room.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kernel/base/plugin_registry.h"
#include "kernel/batch/job_book.h"
#include "kernel/batch/urgent_headroom.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/batch/worker_speeds.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

/** A unit that is to start, with a worker for each of its members. */
struct unit_start {
  unit_ref unit;
  std::vector<std::string> workers;
  std::vector<std::string> tickets;  // of each worker; empty where none are needed
};

/** What is to be done now. Starts may have to wait for the stops. */
struct start_plan {
  std::vector<unit_start> starts;
  std::vector<unit_ref> preempted;
  std::vector<unit_ref> moved;  // to be stopped, as a worker leaves before they can end
};

class advice_desk;

/** What the planner looks at. */
struct planning_view {
  const job_book& book;
  const worker_pool& pool;
  const batch_config& config;
  const std::set<std::string>& evacuated;
  const worker_speeds& speeds;
  const advice_desk* advice = nullptr;  // for queues whose policy demands it
  millis now{0};
  int64_t least_term = 0;  // only jobs accepted under this term or a later one may start
};

/** Which of the ready units goes first: the interface of the ordering policies. */
class unit_order {
 public:
  virtual ~unit_order() = default;

  /** Smaller goes first. */
  virtual double Rank(const tracked_job& job, const batch_queue& queue, millis now) const = 0;
};

using unit_order_registry = plugin_registry<unit_order>;

template <typename Implementation>
using unit_order_registration =
    plugin_registration<unit_order_registry, unit_order, Implementation>;

/** Estimated work of the longest chain of steps of one occurrence. */
millis LongestChain(const batch_job& job);

/** How long after its acceptance a job may end and still be in time. */
millis Objective(const tracked_job& job, const batch_queue& queue);

/** A job that ends later than this many times its objective is worth nothing any more. */
inline constexpr int64_t kLateFactor = 3;

/**
 * Goes through the ready units in order and gives each the tightest place that it fits into. Jobs
 * of the first priority within their organisation's guarantee may stop anything that is not
 * guaranteed itself: whatever loses the least work. Other jobs of the first priority may stop what
 * is less urgent, as long as that costs others no more work than they have themselves; this answers
 * bursts of short urgent gangs on a cluster that longer work has filled.
 */
class start_planner {
 public:
  explicit start_planner(const unit_order& order);

  start_plan Plan(const planning_view& view);

  /** Whether anything new may start at a worker. */
  static bool Usable(const pool_worker& worker, const planning_view& view);

 private:
  /** A unit that could start. */
  struct candidate {
    unit_ref unit;
    const tracked_job* job = nullptr;
    const batch_step* step = nullptr;
    const batch_queue* queue = nullptr;
    const unit_state* state = nullptr;
    amounts each;  // what one member takes of a worker's room
    int members = 1;
    double rank = 0;
  };

  /** What is left of a worker while a plan is made. */
  struct room {
    const pool_worker* worker = nullptr;
    worker_pace pace = worker_pace::kUsual;
    amounts free;                                            // now, without what is held for others
    amounts future;                                          // once the stopping runs have ended
    std::map<std::tuple<std::string, int, int>, int> tasks;  // by job, occurrence and step
    bool kept = false;                                       // for urgent work
  };

  void LeaveInTime(const planning_view& view, start_plan& plan) const;
  /** How full a service is; all but the first in workers. */
  struct service_load {
    amounts largest;  // capacity of any worker
    double workers = 0;
    double free = 0;
    double urgent = 0;  // taken or asked for by urgent work
  };

  std::vector<candidate> Ready(const planning_view& view) const;
  void ReadRooms(const planning_view& view);
  void ReadGuarantees(const planning_view& view);
  void KeepHeadroom(std::span<const candidate> ready, const planning_view& view);
  void KeepRooms(std::string_view service, double workers);
  static bool Pressed(const candidate& unit, const planning_view& view);
  std::vector<room*> RoomsFor(const candidate& unit, const planning_view& view);
  std::optional<std::vector<room*>> Place(const candidate& unit, const planning_view& view);
  std::optional<std::vector<room*>> PlaceIn(const candidate& unit, std::span<room* const> rooms);
  std::optional<std::vector<room*>> PlaceInOneRack(const candidate& unit,
                                                   std::span<room* const> rooms);
  std::optional<std::vector<room*>> Preempt(const candidate& unit, const planning_view& view,
                                            start_plan& plan);
  double CostOfMember(const candidate& unit, const room& target, const planning_view& view,
                      const std::set<unit_ref>& chosen, std::set<unit_ref>& victims);
  static bool SomeRackHolds(const candidate& unit, std::span<room* const> rooms);
  static double WorkOf(const batch_step& step);
  double LossOf(const unit_ref& unit, const planning_view& view) const;
  double SlowCost(const candidate& unit, const room& target, std::span<room* const> place) const;
  double CostOf(const unit_ref& unit, const planning_view& view);
  double NewCostOf(const unit_ref& unit, const planning_view& view) const;
  bool MayMakeRoom(const candidate& unit, const planning_view& view) const;
  static bool IsLessUrgent(const unit_ref& victim, const candidate& by, const planning_view& view);
  bool MayPreempt(const unit_ref& victim, const candidate& by, const planning_view& view) const;
  bool Stopping(const run_record& record) const;
  bool AtWork(const unit_ref& unit) const;
  void Take(const candidate& unit, std::span<room* const> rooms, const planning_view& view,
            start_plan& plan);

  const unit_order& order_;
  std::vector<room> rooms_;
  std::map<unit_ref, std::vector<const run_record*>> running_;  // by unit
  std::map<unit_ref, double> costs_;                            // of stopping, in this plan
  std::set<unit_ref> preempted_;                                // in this plan
  std::map<std::string, urgent_headroom> headroom_;             // by service
  std::set<std::string> guaranteed_;  // jobs that are within their organisation's guarantee
};

}  // namespace eelgrass
