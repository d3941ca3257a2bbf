/** \file
 * All batch jobs that the planner knows, and how far each has come.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "kernel/batch/batch_records.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** What starts and ends together: a whole gang, or one task. */
struct unit_ref {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int unit = 0;  // number within the step; 0 for a gang

  auto Tie() const { return std::tie(job, occurrence, step, unit); }
  bool operator==(const unit_ref& other) const { return Tie() == other.Tie(); }
  bool operator<(const unit_ref& other) const { return Tie() < other.Tie(); }
};

/** One unit's progress. */
struct unit_state {
  bool done = false;
  int64_t done_run = 0;  // number of the run that ended well; 0: not heard by this planner
  int64_t run = 0;       // number of the latest run; 0: none by this planner
  int open_runs = 0;     // members whose run has not certainly ended
  std::set<int64_t> failed_runs;
  int64_t given_up_run = 0;        // latest run whose end was not heard: it does not count any more
  millis given_up{INT64_MIN / 4};  // when that run was over
  std::string saved;
  millis ready_since{0};
  millis not_before{0};             // a pause after a run that did not get far
  std::set<std::string> failed_on;  // workers

  int failures() const { return static_cast<int>(failed_runs.size()); }
};

struct step_state {
  std::vector<unit_state> units;
  int done = 0;
  bool released = false;  // all earlier steps are done and its time has come
  double excess_sum = 0;  // logarithms of how much longer than estimated its ended tasks took
  int timed_ends = 0;     // of which that is known
};

struct occurrence_state {
  millis due{0};  // wall time; 0: at once
  std::vector<step_state> steps;
  int done = 0;  // steps
};

/** A job with its progress. */
struct tracked_job {
  batch_job job;
  batch_state state = batch_state::kPending;
  millis accepted{0};  // when it was handed in, or as far back as this planner knows, by its clock
  std::vector<occurrence_state> occurrences;
  int done = 0;        // occurrences
  bool begun = false;  // some task has started
  bool stored = true;  // the final state is in the store
};

/** How many tasks belong to one unit of a step. */
inline int UnitSize(const batch_step& step) { return step.gang ? step.count : 1; }

/** What one task of a step takes of a worker's room. */
amounts ResourcesPerTask(const batch_step& step);

/** The unit that a task belongs to. */
unit_ref UnitOf(const task_ref& task, const batch_step& step);

/** The task that is a given member of a unit. */
task_ref MemberOf(const unit_ref& unit, const batch_step& step, int member);

/**
 * Keeps the jobs. It knows nothing of workers: it is told what has begun and ended, and says which
 * units may start. Every change that has to survive the planner marks its job as dirty.
 */
class job_table {
 public:
  explicit job_table(millis early);

  /** Adds a job that was accepted at that time; false when it is known already. */
  bool Add(const batch_job& job, millis accepted);

  /** Takes the stored progress of a job that was added. */
  void Restore(const job_progress& progress);

  /** Releases the steps whose time has come. */
  void Release(millis now, millis wall_now);

  tracked_job* Find(std::string_view id);
  const tracked_job* Find(std::string_view id) const;
  unit_state* Find(const unit_ref& unit);
  step_state* FindStep(const unit_ref& unit);
  const batch_step* StepOf(const unit_ref& unit) const;

  /** Jobs that are not final, by id. */
  const std::set<std::string>& open() const { return open_; }
  const std::map<std::string, tracked_job, std::less<>>& all() const { return jobs_; }

  /** Some task of the unit has begun. */
  void OnBegun(const unit_ref& unit);

  /** A unit's run ended well. A job all of whose units are done is completed by Complete(). */
  void OnDone(const unit_ref& unit, int64_t run, millis now);

  /** Jobs all of whose units are done and that are not final; true: that was so in the store. */
  const std::map<std::string, bool, std::less<>>& done() const { return done_; }

  /** Nothing of a job that is done can start any more: it has ended. */
  void Complete(std::string_view id);

  /** A unit's run failed through its own or its worker's fault. */
  void OnFailed(const unit_ref& unit, int64_t run, int attempts, std::string_view worker);

  /** A checkpoint that later runs can start from. */
  void OnSaved(const unit_ref& unit, std::string_view saved);

  /** False when there is no such job. A job that has ended already stays as it is. */
  bool Cancel(std::string_view id);

  /** The progress to store; clears nothing. */
  job_progress Progress(const tracked_job& job) const;

  /** Takes ids of jobs whose progress has to be stored. */
  std::vector<std::string> TakeDirty(size_t most);
  bool dirty() const { return !dirty_.empty(); }

  /** Whether some job has ended since the last call. */
  bool TakeFinished() { return std::exchange(finished_, false); }

  /** A job's progress with this state is in the store. */
  void OnStored(std::string_view id, batch_state state);

 private:
  void Finish(tracked_job& job, batch_state state);
  void ReleaseSteps(tracked_job& job, occurrence_state& occurrence, millis now);

  const millis early_;
  std::map<std::string, tracked_job, std::less<>> jobs_;
  std::set<std::string> open_;
  std::map<std::string, bool, std::less<>> done_;
  std::set<std::string> dirty_;
  bool finished_ = false;
};

}  // namespace eelgrass
