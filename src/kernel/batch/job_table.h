/** \file
 * All batch jobs known to the planner, with their progress.
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
#include "kernel/learning/measured_work.h"
#include "kernel/learning/work_estimates.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** Identifies a unit, which starts and ends as a whole: a gang, or a single task. */
struct unit_ref {
  std::string job;
  int occurrence = 0;
  int step = 0;
  int unit = 0;  // number within the step; 0 for a gang

  auto Tie() const { return std::tie(job, occurrence, step, unit); }
  bool operator==(const unit_ref& other) const { return Tie() == other.Tie(); }
  bool operator<(const unit_ref& other) const { return Tie() < other.Tie(); }
};

/** Progress of a unit. */
struct unit_state {
  bool done = false;
  int64_t done_run = 0;  // number of the successful run; 0: not reported to this planner
  int64_t run = 0;       // number of the latest run; 0: none known to this planner
  int open_runs = 0;     // members whose run is not known to have ended
  std::set<int64_t> failed_runs;
  int64_t given_up_run = 0;        // latest run that was given up; its failure is ignored
  millis given_up{INT64_MIN / 4};  // time by which that run had ended
  std::string saved;
  millis ready_since{0};
  millis not_before{0};             // no start before this, after a refused start
  std::set<std::string> failed_on;  // workers on which a run failed
  bool ran_again = false;           // another run was seen after the unit was done
  int preemptions = 0;              // by this planner

  int failures() const { return static_cast<int>(failed_runs.size()); }
};

struct step_state {
  std::vector<unit_state> units;
  int done = 0;
  bool released = false;  // its predecessors are done and it is due
  double excess_sum = 0;  // sum of log(actual / estimated duration) over its ended tasks
  int timed_ends = 0;     // number of ended tasks in that sum
};

struct occurrence_state {
  millis due{0};  // wall time; 0: immediately
  std::vector<step_state> steps;
  int done = 0;  // number of done steps
};

/** Names one row of a job's progress. */
struct progress_row {
  std::string job;
  int part = 0;

  /** Key of the row in the store. */
  std::string Key() const { return part == 0 ? job : job + "." + std::to_string(part); }

  bool operator==(const progress_row&) const = default;

  /** The first row comes last: a row of an earlier version may hold the tasks of all others. */
  bool operator<(const progress_row& other) const {
    return job != other.job ? job < other.job : part > other.part;
  }
};

/** A job with its progress. */
struct tracked_job {
  batch_job job;
  batch_state state = batch_state::kPending;
  millis accepted{0};  // submission, or the earliest known time, on the planner's clock
  std::vector<occurrence_state> occurrences;
  int done = 0;            // number of done occurrences
  bool begun = false;      // a task has started
  measured_work work{};    // of its runs, against their estimates
  bool stored = true;      // whether the final state is in the store
  bool unsettled = false;  // another run of a done unit may have been ordered in an earlier term
  std::set<int> parts;     // rows of its progress in the store besides the first
};

/** Number of tasks in one unit of a step. */
inline int UnitSize(const batch_step& step) { return step.gang ? step.count : 1; }

/** The resources that one task of a step reserves on a worker. */
amounts ResourcesPerTask(const batch_step& step);

/** The unit that a task belongs to. */
unit_ref UnitOf(const task_ref& task, const batch_step& step);

/** The task of a unit's member, by its index. */
task_ref MemberOf(const unit_ref& unit, const batch_step& step, int member);

/**
 * Stores the jobs and their progress, independently of workers. Callers report starts and ends of
 * runs; the table tracks which units may start. A change that has to be stored marks its job dirty.
 */
class job_table {
 public:
  explicit job_table(millis early);

  /** Adds a job with its time of acceptance; returns false if it is already known. */
  bool Add(const batch_job& job, millis accepted);

  /** Applies a stored row of the progress of a job that was added before. */
  void Restore(const job_progress& progress);

  /** Releases the steps that are due and whose predecessors are done. */
  void Release(millis now, millis wall_now);

  tracked_job* Find(std::string_view id);
  const tracked_job* Find(std::string_view id) const;
  unit_state* Find(const unit_ref& unit);
  const unit_state* Find(const unit_ref& unit) const;
  step_state* FindStep(const unit_ref& unit);
  const batch_step* StepOf(const unit_ref& unit) const;

  /** Ids of the jobs that are not in a final state. */
  const std::set<std::string>& open() const { return open_; }
  const std::map<std::string, tracked_job, std::less<>>& all() const { return jobs_; }

  /** Records that a task of the unit has started. */
  void OnBegun(const unit_ref& unit);

  /** Records a successful run of a unit. Complete() ends the job once all its units are done. */
  void OnDone(const unit_ref& unit, int64_t run, millis now);

  /** Jobs that are not final but have all units done; true: they were already done in the store. */
  const std::map<std::string, bool, std::less<>>& done() const { return done_; }

  /** Completes a job that is done and of which nothing can start any more. */
  void Complete(std::string_view id);

  /** Records a failed run; the job fails once a unit has used up its attempts. */
  void OnFailed(const unit_ref& unit, int64_t run, int attempts, std::string_view worker);

  /** Records how long a task of the unit takes on a typical worker, as one of its runs shows. */
  void OnWorkMeasured(const unit_ref& unit, double work_ms);

  /** Corrects the estimates of the open jobs by what is known of their queues. */
  void PredictWork();

  /** Records a checkpoint from which later runs can start. */
  void OnSaved(const unit_ref& unit, std::string_view saved);

  /** Cancels a job unless it has ended; returns false if it does not exist. */
  bool Cancel(std::string_view id);

  /** A row of the progress to store; none if the row has to be removed from the store. */
  std::optional<job_progress> Progress(const progress_row& row);

  /** Removes and returns a row that has changed; none if there is no such row. */
  std::optional<progress_row> TakeDirty();
  bool dirty() const { return !dirty_.empty(); }

  /** Whether a job has ended since the last call. */
  bool TakeFinished() { return std::exchange(finished_, false); }

  /** Records that the first row of the job's progress has been stored with this state. */
  void OnStored(std::string_view id, batch_state state);

 private:
  void Finish(tracked_job& job, batch_state state);
  static progress_row RowOf(const tracked_job& job, const unit_ref& unit);
  void ReleaseSteps(tracked_job& job, occurrence_state& occurrence, millis now);

  const millis early_;
  std::map<std::string, tracked_job, std::less<>> jobs_;
  std::set<std::string> open_;
  std::map<std::string, bool, std::less<>> done_;
  std::set<progress_row> dirty_;
  work_estimates estimates_;
  bool finished_ = false;
};

}  // namespace eelgrass
