/** \file
 * The batch workers known to the planner, with their runs.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/batch/job_table.h"
#include "kernel/batch/open_starts.h"
#include "kernel/learning/run_progress.h"
#include "kernel/model/worker_messages.h"
#include "kernel/stragglers/listing_watch.h"
#include "kernel/stragglers/quarantine_state.h"

namespace eelgrass {

/** The phase of a run on a worker. */
enum class run_phase {
  kHeld,      // placed; waits for other runs on the worker to end
  kOrdered,   // ordered to start; may begin at any time
  kRunning,   // listed by the worker
  kStopping,  // ordered to stop
};

/** One run of a task on a worker. */
struct run_record {
  unit_ref unit;
  std::string task;
  int64_t run = 0;
  amounts each;
  run_phase phase = run_phase::kHeld;
  millis since{0};              // start of the phase
  std::optional<millis> began;  // not set: not yet listed as running
  std::string saved;
  bool full_run = false;            // placed by this planner, without a checkpoint
  std::string ticket;               // placement ticket, if the queue's policy requires one
  bool former_incarnation = false;  // ordered to an earlier incarnation of the worker
  run_progress progress{};
  bool remote = false;      // slowed down, or maybe so: off its data, or over several racks
  double slowdown = 1;      // of its worker, as known when it was placed
  bool work_known = false;  // its work was recorded for its job
  listing_watch listing{};
  millis placed{INT64_MIN / 4};  // by this planner
};

/** An end that counts and that its worker has not been allowed to forget. */
struct counted_end {
  unit_ref unit;
  bool until_recovered = false;  // another run may have been ordered in an earlier term
  bool withheld = false;         // was found to be withheld
};

/** The ends of an incarnation of a worker, up to a number, whose effects are in the store. */
struct stored_ends {
  worker_identity worker;
  int64_t number = 0;
};

/** A worker with its runs. */
struct pool_worker {
  worker_profile profile;
  int64_t incarnation = 0;  // number of earlier incarnations in this term
  std::string agent;        // peer through which the worker is reached
  bool linked = false;
  bool listing = false;    // its latest report has lists made under its current fence
  bool more_ends = false;  // of these lists: runs that are in neither may have ended
  bool recorded = false;   // the store has a record of this incarnation and its address
  bool recording = false;
  int64_t report_sequence = 0;
  millis known_since{0};  // when this incarnation became known
  millis reported{0};
  millis lease_end{0};  // no run continues after this; planner's clock
  millis leaves_at{0};  // a draining worker stays at least until then; 0: unknown
  int64_t ends_applied = 0;
  int64_t ends_stored = 0;
  int64_t ends_released = 0;                    // the worker may forget the ends up to this one
  std::map<int64_t, counted_end> counted_ends;  // after ends_released, by number
  std::map<run_ref, run_record> runs;
  std::vector<run_ref> forget;
  bool order_due = false;
  int failures_in_row = 0;  // consecutive failures of different units
  millis avoid_until{0};
  quarantine_state quarantine;

  /** Free resources once all stopping runs have ended and all held runs have started. */
  amounts FutureCapacity() const;

  /** Free resources now: stopping runs still use theirs, held runs do not yet. */
  amounts PresentCapacity() const;

  bool HasLabel(std::string_view label) const;
};

/** All workers by id. */
class worker_pool {
 public:
  worker_pool() = default;
  explicit worker_pool(open_starts starts) : starts_(std::move(starts)) {}

  pool_worker* Find(std::string_view id);
  const pool_worker* Find(std::string_view id) const;
  std::map<std::string, pool_worker, std::less<>>& all() { return workers_; }
  const std::map<std::string, pool_worker, std::less<>>& all() const { return workers_; }

  /** Returns the worker's entry, adding it if it does not exist. */
  pool_worker& Get(std::string_view id) { return workers_[std::string(id)]; }
  void Erase(std::string_view id);

  /** Starts that may still be carried out, also those of workers that were removed. */
  open_starts& starts() { return starts_; }
  const open_starts& starts() const { return starts_; }

  /**
   * Whether a worker that is not listing may still start a task of the unit. While such a worker
   * lists, the task may start there, and nowhere else.
   */
  bool MayStillStart(const unit_ref& unit, const batch_step& step, millis now) const;

 private:
  std::map<std::string, pool_worker, std::less<>> workers_;
  open_starts starts_;
};

}  // namespace eelgrass
