/** \file
 * The batch workers as the planner knows them, and the runs on each.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/batch/job_table.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** How far a run on a worker has come. */
enum class run_phase {
  kHeld,      // has its place, waits for others there to end
  kOrdered,   // may begin at any time
  kRunning,   // the worker lists it
  kStopping,  // is to end
};

/** One run of a task on a worker. */
struct run_record {
  unit_ref unit;
  std::string task;
  int64_t run = 0;
  amounts each;
  run_phase phase = run_phase::kHeld;
  millis since{0};              // of the phase
  std::optional<millis> began;  // none: it has not been seen running
  std::string saved;
  bool full_run = false;            // placed by this planner with all its work before it
  std::string ticket;               // from the advice that the queue's policy demands
  bool former_incarnation = false;  // ordered to an earlier life under the worker's id
};

/** One worker. */
struct pool_worker {
  worker_profile profile;
  int64_t incarnation = 0;  // lives under the id before this one, within the term
  std::string agent;        // peer through which it is reached
  bool linked = false;
  bool listing = false;   // its latest report has lists under this life's fence
  bool recorded = false;  // the store knows that runs of this life may be here, at its address
  bool recording = false;
  int64_t report_sequence = 0;
  millis known_since{0};  // since when this life is
  millis reported{0};
  millis lease_end{0};  // no run outlives this; planner's clock
  millis leaves_at{0};  // a draining worker stays until then at least; 0: not known
  int64_t ends_applied = 0;
  int64_t ends_stored = 0;
  std::map<run_ref, run_record> runs;
  std::vector<run_ref> forget;
  bool order_due = false;
  int failures_in_row = 0;  // of different units
  millis avoid_until{0};

  /** Room once everything that is stopping has ended and everything held has begun. */
  amounts FutureCapacity() const;

  /** Room now: what is stopping still counts, what is held does not. */
  amounts PresentCapacity() const;

  bool HasLabel(std::string_view label) const;
};

/** All workers by id, with the runs on them. */
class worker_pool {
 public:
  pool_worker* Find(std::string_view id);
  std::map<std::string, pool_worker, std::less<>>& all() { return workers_; }
  const std::map<std::string, pool_worker, std::less<>>& all() const { return workers_; }

  /** The worker's entry, new if need be. */
  pool_worker& Get(std::string_view id) { return workers_[std::string(id)]; }
  void Erase(std::string_view id);

 private:
  std::map<std::string, pool_worker, std::less<>> workers_;
};

}  // namespace eelgrass
