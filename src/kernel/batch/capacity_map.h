/** \file
 * The room that is left at each worker while a plan is made.
 */
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "kernel/batch/planning_view.h"
#include "kernel/batch/urgent_headroom.h"

namespace eelgrass {

/** A unit that could start. */
struct ready_unit {
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
struct candidate_worker {
  const pool_worker* worker = nullptr;
  worker_pace pace = worker_pace::kTypical;
  amounts free;                                            // now, without what is held for others
  amounts future;                                          // once the stopping runs have ended
  std::map<std::tuple<std::string, int, int>, int> tasks;  // by job, occurrence and step
  bool reserved = false;                                   // for urgent work
};

/**
 * Knows for one plan at a time what is free where, and which of it a unit may use. Room is kept
 * free for urgent work by what it has needed lately; that is remembered from plan to plan.
 */
class capacity_map {
 public:
  /** Reads the pool anew. */
  void Read(const planning_view& view);

  /** Keeps room free for urgent work; call it after Read. */
  void ReserveHeadroom(std::span<const ready_unit> ready, const planning_view& view);

  /** The rooms that a unit may use, best first. They stay valid until the next Read. */
  std::vector<candidate_worker*> CandidatesFor(const ready_unit& unit, const planning_view& view);

  std::span<candidate_worker> all() { return workers_; }

  /** The runs of a unit, also those that are stopping. */
  std::span<const run_record* const> RunsOf(const unit_ref& unit) const;

  /** Whether anything new may start at a worker. */
  static bool Usable(const pool_worker& worker, const planning_view& view);

 private:
  /** How full a service is; all but the first in workers. */
  struct service_load {
    amounts largest;  // capacity of any worker
    double workers = 0;
    double free = 0;
    double urgent = 0;  // taken or asked for by urgent work
  };

  void ReserveWorkers(std::string_view service, double workers);
  static bool MayUseReserved(const ready_unit& unit, const planning_view& view);

  std::vector<candidate_worker> workers_;
  std::map<unit_ref, std::vector<const run_record*>> running_;
  std::map<std::string, urgent_headroom> headroom_;  // by service
};

}  // namespace eelgrass
