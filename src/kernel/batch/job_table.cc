#include "kernel/batch/job_table.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Added to an occurrence's earliest start, because the VMs' clocks differ slightly. */
constexpr millis kClockSlack{200};

/**
 * Units per row of a job's progress: a row of 64 KB then has 1 KB for each, which is enough for its
 * names, a checkpoint and dozens of failed runs.
 */
constexpr size_t kUnitsPerRow = 64;

size_t UnitsPerOccurrence(const tracked_job& job) {
  size_t units = 0;
  for (const auto& step : job.occurrences.front().steps) units += step.units.size();
  return units;
}

/** Units are numbered by occurrence, step and number within the step. */
size_t NumberOf(const tracked_job& job, const unit_ref& unit) {
  const auto occurrence = static_cast<size_t>(unit.occurrence);
  size_t number = occurrence * UnitsPerOccurrence(job) + static_cast<size_t>(unit.unit);
  for (size_t s = 0; s < static_cast<size_t>(unit.step); ++s) {
    number += job.occurrences[occurrence].steps[s].units.size();
  }
  return number;
}

/** The unit with this number; none if the job has fewer. */
std::optional<unit_ref> UnitAt(const tracked_job& job, size_t number) {
  const size_t units = UnitsPerOccurrence(job);
  if (number >= units * job.occurrences.size()) return std::nullopt;
  const size_t occurrence = number / units;
  number %= units;
  const auto& steps = job.occurrences[occurrence].steps;
  size_t step = 0;
  for (; number >= steps[step].units.size(); ++step) number -= steps[step].units.size();
  return unit_ref{job.job.id, static_cast<int>(occurrence), static_cast<int>(step),
                  static_cast<int>(number)};
}

}  // namespace

amounts ResourcesPerTask(const batch_step& step) {
  amounts resources = step.each;
  if (step.fills) resources.cpu_milli = 0;
  return resources;
}

unit_ref UnitOf(const task_ref& task, const batch_step& step) {
  return {task.job, task.occurrence, task.step, step.gang ? 0 : task.index};
}

task_ref MemberOf(const unit_ref& unit, const batch_step& step, int member) {
  return {unit.job, unit.occurrence, unit.step, step.gang ? member : unit.unit};
}

job_table::job_table(millis early) : early_(early) {}

bool job_table::Add(const batch_job& job, millis accepted) {
  if (jobs_.contains(job.id)) return false;
  tracked_job tracked;
  tracked.job = job;
  tracked.accepted = accepted;
  const int occurrences = std::max(1, job.occurrences);
  for (int k = 0; k < occurrences; ++k) {
    occurrence_state occurrence;
    if (job.occurrences > 0) occurrence.due = job.first_start + job.interval * k;
    for (const auto& step : job.steps) {
      step_state state;
      state.units.resize(static_cast<size_t>(step.gang ? 1 : step.count));
      occurrence.steps.push_back(std::move(state));
    }
    tracked.occurrences.push_back(std::move(occurrence));
  }
  open_.insert(job.id);
  jobs_.emplace(job.id, std::move(tracked));
  return true;
}

progress_row job_table::RowOf(const tracked_job& job, const unit_ref& unit) {
  return {unit.job, static_cast<int>(NumberOf(job, unit) / kUnitsPerRow)};
}

void job_table::Restore(const job_progress& progress) {
  tracked_job* job = Find(progress.job);
  if (job == nullptr) return;
  const progress_row row{progress.job, progress.part};
  if (progress.part > 0) job->parts.insert(progress.part);
  std::set<progress_row> moved;  // rows of tasks that an earlier version stored in this one
  for (const auto& task : progress.tasks) {
    const unit_ref ref{progress.job, task.occurrence, task.step, task.index};
    unit_state* unit = Find(ref);
    if (unit == nullptr) continue;
    if (task.done && !unit->done) OnDone(ref, 0, job->accepted);
    unit->failed_runs = {task.failed_runs.begin(), task.failed_runs.end()};
    unit->saved = task.saved;
    const progress_row own = RowOf(*job, ref);
    if (own == row) {
      dirty_.erase(own);
    } else {
      moved.insert(own);
    }
  }
  if (!progress.tasks.empty()) job->begun = true;
  if (const auto done = done_.find(progress.job); done != done_.end()) done->second = true;
  if (IsFinal(job->state)) {
    dirty_.insert(row);  // left over from before the job ended
  } else if (progress.part == 0 && IsFinal(progress.state)) {
    Finish(*job, progress.state);
    job->stored = true;
    dirty_.erase(row);
    return;
  }
  dirty_.insert(moved.begin(), moved.end());
}

void job_table::Release(millis now, millis wall_now) {
  for (const auto& id : open_) {
    tracked_job& job = jobs_.find(id)->second;
    for (auto& occurrence : job.occurrences) {
      const bool due =
          occurrence.due == millis(0) || wall_now >= occurrence.due - early_ + kClockSlack;
      if (due) ReleaseSteps(job, occurrence, now);
    }
  }
}

void job_table::ReleaseSteps(tracked_job& job, occurrence_state& occurrence, millis now) {
  for (size_t i = 0; i < occurrence.steps.size(); ++i) {
    step_state& step = occurrence.steps[i];
    if (step.released) continue;
    const auto& after = job.job.steps[i].after;
    const bool met = std::all_of(after.begin(), after.end(), [&](int earlier) {
      const step_state& other = occurrence.steps[static_cast<size_t>(earlier)];
      return other.done == static_cast<int>(other.units.size());
    });
    if (!met) continue;
    step.released = true;
    for (auto& unit : step.units) unit.ready_since = now;
  }
}

tracked_job* job_table::Find(std::string_view id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const tracked_job* job_table::Find(std::string_view id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

unit_state* job_table::Find(const unit_ref& unit) {
  step_state* step = FindStep(unit);
  if (step == nullptr || unit.unit < 0) return nullptr;
  const auto number = static_cast<size_t>(unit.unit);
  return number < step->units.size() ? &step->units[number] : nullptr;
}

const unit_state* job_table::Find(const unit_ref& unit) const {
  return const_cast<job_table*>(this)->Find(unit);
}

step_state* job_table::FindStep(const unit_ref& unit) {
  tracked_job* job = Find(unit.job);
  if (job == nullptr || unit.occurrence < 0 || unit.step < 0) return nullptr;
  if (static_cast<size_t>(unit.occurrence) >= job->occurrences.size()) return nullptr;
  auto& steps = job->occurrences[static_cast<size_t>(unit.occurrence)].steps;
  const auto number = static_cast<size_t>(unit.step);
  return number < steps.size() ? &steps[number] : nullptr;
}

const batch_step* job_table::StepOf(const unit_ref& unit) const {
  const tracked_job* job = Find(unit.job);
  if (job == nullptr || unit.step < 0) return nullptr;
  const auto& steps = job->job.steps;
  return static_cast<size_t>(unit.step) < steps.size() ? &steps[static_cast<size_t>(unit.step)]
                                                       : nullptr;
}

void job_table::OnBegun(const unit_ref& unit) {
  tracked_job* job = Find(unit.job);
  if (job == nullptr || IsFinal(job->state)) return;
  job->begun = true;
  job->state = batch_state::kRunning;
}

void job_table::OnDone(const unit_ref& ref, int64_t run, millis now) {
  tracked_job* job = Find(ref.job);
  unit_state* unit = Find(ref);
  if (job == nullptr || unit == nullptr || unit->done || IsFinal(job->state)) return;
  unit->done = true;
  unit->done_run = run;
  dirty_.insert(RowOf(*job, ref));
  occurrence_state& occurrence = job->occurrences[static_cast<size_t>(ref.occurrence)];
  step_state& step = occurrence.steps[static_cast<size_t>(ref.step)];
  if (++step.done < static_cast<int>(step.units.size())) return;
  if (++occurrence.done < static_cast<int>(occurrence.steps.size())) {
    if (step.released) ReleaseSteps(*job, occurrence, now);
    return;
  }
  if (++job->done == static_cast<int>(job->occurrences.size())) done_.emplace(ref.job, false);
}

void job_table::Complete(std::string_view id) {
  tracked_job* job = Find(id);
  if (job != nullptr && done_.contains(id)) Finish(*job, batch_state::kCompleted);
}

void job_table::OnFailed(const unit_ref& ref, int64_t run, int attempts, std::string_view worker) {
  tracked_job* job = Find(ref.job);
  unit_state* unit = Find(ref);
  if (job == nullptr || unit == nullptr || unit->done || IsFinal(job->state)) return;
  const batch_step& step = job->job.steps[static_cast<size_t>(ref.step)];
  if (step.long_running || !unit->failed_runs.insert(run).second) return;
  unit->failed_on.insert(std::string(worker));
  dirty_.insert(RowOf(*job, ref));
  if (unit->failures() < attempts) return;
  log_event("job-out-of-attempts")
      .With("job", ref.job)
      .With("step", ref.step)
      .With("unit", ref.unit)
      .With("failures", unit->failures());
  Finish(*job, batch_state::kFailed);
}

void job_table::OnWorkMeasured(const unit_ref& unit, double work_ms) {
  tracked_job* job = Find(unit.job);
  const batch_step* step = StepOf(unit);
  if (job == nullptr || step == nullptr) return;
  if (!job->work.known()) estimates_.Record(job->job.queue, step->estimate, work_ms);
  job->work.Record(step->estimate, work_ms);
}

void job_table::PredictWork() {
  for (const auto& id : open_) {
    tracked_job& job = *Find(id);
    if (job.work.known() || job.job.steps.empty()) continue;
    // The estimates of one job are off by the same factor.
    job.work.Expect(estimates_.Ratio(job.job.queue, job.job.steps.front().estimate));
  }
}

void job_table::OnSaved(const unit_ref& ref, std::string_view saved) {
  unit_state* unit = Find(ref);
  if (unit != nullptr && !saved.empty() && !unit->done) unit->saved = saved;
}

bool job_table::Cancel(std::string_view id) {
  tracked_job* job = Find(id);
  if (job == nullptr) return false;
  if (!IsFinal(job->state)) Finish(*job, batch_state::kCancelled);
  return true;
}

void job_table::Finish(tracked_job& job, batch_state state) {
  log_event("job-final").With("job", job.job.id).With("state", BatchStateName(state));
  job.state = state;
  job.stored = false;
  finished_ = true;
  done_.erase(job.job.id);
  // The other rows are removed once the final state is stored: until then they are needed.
  std::erase_if(dirty_, [&](const progress_row& row) { return row.job == job.job.id; });
  dirty_.insert({job.job.id, 0});
  open_.erase(job.job.id);
}

std::optional<job_progress> job_table::Progress(const progress_row& row) {
  tracked_job* job = Find(row.job);
  if (job == nullptr || (IsFinal(job->state) && row.part > 0)) return std::nullopt;
  job_progress progress{row.job, job->state, {}, row.part};
  if (IsFinal(job->state)) return progress;
  if (row.part > 0) job->parts.insert(row.part);
  const size_t first = static_cast<size_t>(row.part) * kUnitsPerRow;
  for (size_t number = first; number < first + kUnitsPerRow; ++number) {
    const auto ref = UnitAt(*job, number);
    if (!ref) break;
    const unit_state& unit = *Find(*ref);
    if (!unit.done && unit.failed_runs.empty() && unit.saved.empty()) continue;
    progress.tasks.push_back({ref->occurrence,
                              ref->step,
                              ref->unit,
                              unit.done,
                              {unit.failed_runs.begin(), unit.failed_runs.end()},
                              unit.done ? std::string() : unit.saved});
  }
  return progress;
}

std::optional<progress_row> job_table::TakeDirty() {
  if (dirty_.empty()) return std::nullopt;
  return std::move(dirty_.extract(dirty_.begin()).value());
}

void job_table::OnStored(std::string_view id, batch_state state) {
  tracked_job* job = Find(id);
  if (job == nullptr) return;
  if (job->state != state) return;
  job->stored = true;
  if (!IsFinal(state)) return;
  for (const int part : job->parts) dirty_.insert({job->job.id, part});
  job->parts.clear();
}

}  // namespace eelgrass
