/** \file
 * The free resources of each worker during planning.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "kernel/placement/planning_view.h"
#include "kernel/placement/urgent_headroom.h"

namespace eelgrass {

/** A unit that can start now. */
struct ready_unit {
  unit_ref unit;
  const tracked_job* job = nullptr;
  const batch_step* step = nullptr;
  const batch_queue* queue = nullptr;
  const unit_state* state = nullptr;
  amounts each;  // resources of one member
  int members = 1;
  double rank = 0;
  millis work{0};                    // of one member on a typical worker
  std::map<int, std::string> bound;  // members that a worker may still start, with its id
};

/** Room on a worker that is held for a unit until enough of it is free. */
struct place_hold {
  millis starts_in{0};  // predicted
  amounts spare;        // room at that time beyond what is held
};

/** A worker on which runs can be placed, with its remaining resources. */
struct candidate_worker {
  const pool_worker* worker = nullptr;
  worker_pace pace = worker_pace::kTypical;
  worker_speed speed;
  amounts free;                                            // free now and not held for other runs
  amounts future;                                          // free once the stopping runs have ended
  std::map<std::tuple<std::string, int, int>, int> tasks;  // number by job, occurrence and step
  bool reserved = false;                                   // reserved for urgent work
  std::optional<place_hold> hold;
  bool probed = false;  // in quarantine, with its one probe
};

/** Which tickets the workers for a unit need, if its queue's policy requires any. */
enum class ticket_rule {
  kValid,    // a valid ticket
  kPossible  // a valid ticket, or none that is known to be refused
};

/**
 * Tracks, during one plan, the free resources of each worker and which workers a unit may use.
 * Workers are reserved for urgent work according to its recent demand, which is remembered across
 * plans.
 */
class capacity_map {
 public:
  /** Rebuilds the map from the worker pool. */
  void Read(const planning_view& view);

  /** Reserves workers for urgent work; call it after Read. */
  void ReserveHeadroom(std::span<const ready_unit> ready, const planning_view& view);

  /** The workers that a unit may use, best first; the pointers are valid until the next Read. */
  std::vector<candidate_worker*> CandidatesFor(const ready_unit& unit, const planning_view& view,
                                               ticket_rule tickets = ticket_rule::kValid);

  std::span<candidate_worker> all() { return workers_; }

  /** All runs of a unit, including stopping ones. */
  std::span<const run_record* const> RunsOf(const unit_ref& unit) const;

  /** Whether new runs may start on a worker. */
  static bool Usable(const pool_worker& worker, const planning_view& view);

 private:
  /** Load of a service; all members except `largest` are in units of workers. */
  struct service_load {
    amounts largest;  // capacity of its largest worker
    double workers = 0;
    double free = 0;
    double urgent = 0;  // used or requested by urgent work
  };

  void ReserveWorkers(std::string_view service, double workers);
  static bool Advised(const ready_unit& unit, const worker_identity& worker,
                      const planning_view& view, ticket_rule tickets);
  static bool KnownAsAllowed(const ready_unit& unit, const worker_identity& worker,
                             const planning_view& view);
  static bool MayProbe(const candidate_worker& candidate, const ready_unit& unit, millis now);
  static bool MayUseReserved(const ready_unit& unit, const planning_view& view);

  std::vector<candidate_worker> workers_;
  std::map<unit_ref, std::vector<const run_record*>> running_;
  std::map<std::string, urgent_headroom> headroom_;  // by service
};

}  // namespace eelgrass
