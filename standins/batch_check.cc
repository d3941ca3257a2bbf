#include "standins/batch_check.h"

#include <algorithm>

namespace eelgrass {
namespace {

/** A cancelled job's tasks may still be started for this long: the deployments' bound. */
constexpr millis kCancelTime{3000};

/** An accepted job is known to every entry after this: the deployments' bound. */
constexpr millis kVisibleTime{3000};

std::string JobOf(std::string_view task) { return std::string(task.substr(0, task.find('.'))); }

}  // namespace

void batch_check::Break(std::string_view rule, std::string_view what, millis at) {
  broken_.push_back(std::string(rule) + " at " + std::to_string(at.count()) +
                    " ms: " + std::string(what));
}

void batch_check::OnSubmitted(const batch_job& job) { jobs_[job.id].job = job; }

void batch_check::OnAnswer(std::string_view id, call_kind kind, const caller_reply& reply,
                           millis now) {
  seen_job& job = jobs_[std::string(id)];
  if (kind == call_kind::kSubmit) {
    if (reply.answer == call_answer::kAccepted && !job.accepted) {
      job.accepted = true;
      job.accepted_at = now;
    }
    if (reply.answer == call_answer::kOutcomeUnknown) job.unclear = true;
  } else if (reply.answer == call_answer::kCancelled) {
    if (!job.cancelled) job.cancelled = now;
  } else if (reply.answer == call_answer::kNoSuchJob) {
    const bool visible = job.accepted && now - job.accepted_at > kVisibleTime;
    if (visible && !job.cancelled) Break("LOST", std::string(id) + " is not known", now);
  } else if (reply.answer == call_answer::kState) {
    if (IsFinal(job.shown) && reply.state != job.shown) Break("REGRESS", id, now);
    job.shown = reply.state;
    if (reply.state == batch_state::kCompleted && !job.completed) job.completed = now;
    if (reply.state == batch_state::kCancelled && !job.cancelled) job.cancelled = now;
  }
}

void batch_check::OnRunner(const runner_event& event) {
  if (event.what == runner_event::kind::kDied) {
    const auto is_of = [&](const auto& entry) {
      return entry.worker == event.worker && entry.born_ms == event.born_ms;
    };
    for (auto& [task, runs] : live_) std::erase_if(runs, is_of);
    for (auto& [task, ends] : done_ends_) std::erase_if(ends, is_of);
    return;
  }
  std::vector<live_run>& runs = live_[event.task];
  if (event.what == runner_event::kind::kEnded) {
    ++ends_[event.how];
    if (event.how == run_end::kFailed) ++failures_[event.task];
    if (event.how == run_end::kDone) {
      done_ends_[event.task].push_back({event.worker, event.born_ms, event.number, false});
    }
    std::erase_if(runs, [&](const live_run& run) { return run.run == event.run; });
    return;
  }
  if (event.what == runner_event::kind::kSeen) {
    if (event.how == run_end::kDone) OnDoneNoted(event);
    return;
  }
  ++starts_;
  for (auto& end : done_ends_[event.task]) end.ran_again = true;
  began_.try_emplace(event.task, event.at);
  if (!runs.empty()) Break("TWICE", event.task + " runs twice at once", event.at);
  const bool again = done_noted_.contains(event.task);
  if (again) Break("TWICE", event.task + " runs after it was done", event.at);
  runs.push_back({event.worker, event.born_ms, event.run});
  const auto job = jobs_.find(JobOf(event.task));
  if (job == jobs_.end()) return Break("UNASKED", event.task + " was never asked for", event.at);
  seen_job& asked = job->second;
  asked.started = true;
  if (event.spec != asked.job.spec) Break("UNASKED", event.task + " has another text", event.at);
  // A worker that carries an order out late may do so after its job has been shown as done.
  const bool shown = asked.completed.has_value() && !event.late;
  if (shown) Break("TWICE", event.task + " starts after its job was shown as done", event.at);
  const bool late = asked.cancelled && event.at - *asked.cancelled > kCancelTime;
  if (late) Break("UNASKED", event.task + " starts after its job was cancelled", event.at);
}

void batch_check::OnDoneNoted(const runner_event& event) {
  done_noted_.insert(event.task);
  if (event.lapsed) return;  // its run may have been replaced
  for (const auto& end : done_ends_[event.task]) {
    const bool same =
        end.worker == event.worker && end.born_ms == event.born_ms && end.number == event.number;
    if (same && end.ran_again) Break("TWICE", event.task + " ran after a noted end", event.at);
  }
}

void batch_check::Finish() {
  for (const auto& [id, job] : jobs_) {
    const millis end{0};
    if (!job.accepted && !job.unclear && job.started) Break("REFUSED", id + " ran", end);
    if (!job.accepted || job.cancelled) continue;
    if (job.shown == batch_state::kCompleted || job.shown == batch_state::kFailed) continue;
    Break("LOST", id + " is " + std::string(BatchStateName(job.shown)), end);
  }
}

int batch_check::ends(run_end how) const {
  const auto found = ends_.find(how);
  return found == ends_.end() ? 0 : found->second;
}

bool batch_check::accepted(std::string_view job) const {
  const auto found = jobs_.find(job);
  return found != jobs_.end() && found->second.accepted;
}

std::optional<millis> batch_check::began(std::string_view task) const {
  const auto found = began_.find(task);
  if (found == began_.end()) return std::nullopt;
  return found->second;
}

std::optional<millis> batch_check::completed(std::string_view job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? std::nullopt : found->second.completed;
}

}  // namespace eelgrass
