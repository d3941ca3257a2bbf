#include "kernel/jobs/job_outcome_handler.h"

#include <utility>

namespace eelgrass {
namespace {

constexpr std::string_view kTimeLimit = "time limit";  // reason that anchors report for a stop

}  // namespace

job_outcome_handler::job_outcome_handler(runtime_estimator& estimator, failure_tracker& failures)
    : estimator_(estimator), failures_(failures) {}

job_row job_outcome_handler::AfterReport(const job_row& row, const gang_report& report,
                                         const job_context& at) {
  job_row next = row;
  next.members.clear();
  if (report.state == gang_state::kFinished) {
    estimator_.Learn(row.spec, millis(report.ran_ms + row.saved_ms));
    for (const auto& member : row.members) failures_.RecordSuccess(row.id, member.agent);
    next.state = job_state::kFinished;
    next.ended_ms = at.wall_now.count();
    next.reason.clear();
    return next;
  }
  if (report.state == gang_state::kFailed) return AfterFailure(std::move(next), report, at);
  const bool lost_work = report.ran_ms > 0 && report.saved_ms == 0;
  const bool time_limit_reached = report.reason == kTimeLimit;
  next.saved_ms += report.saved_ms;
  if (lost_work && !time_limit_reached && !row.cancel_wanted) {
    return AfterUnknownOutcome(std::move(next), report.reason, at);
  }
  return AfterStop(std::move(next), report.reason, at);
}

job_row job_outcome_handler::AfterFailure(job_row next, const gang_report& report,
                                          const job_context& at) {
  failures_.RecordFailure(next.id, report.failed_worker, at.now);
  next.failed_workers.push_back(report.failed_worker);
  const int max_attempts = at.kind != nullptr ? at.kind->max_attempts : 1;
  const bool attempts_exhausted = failures_.CountedFailures(next.id) >= max_attempts;
  next.state = attempts_exhausted ? job_state::kParked : job_state::kQueued;
  next.reason = report.reason;
  if (next.cancel_wanted) next.state = job_state::kCancelled;
  const bool may_rerun = at.kind == nullptr || at.kind->idempotent || report.ran_ms == 0;
  if (!may_rerun && !next.cancel_wanted) next.state = job_state::kFailed;
  if (next.state == job_state::kFailed) next.ended_ms = at.wall_now.count();
  return next;
}

job_row job_outcome_handler::AfterUnknownOutcome(job_row row, std::string_view reason,
                                                 const job_context& at) {
  row.members.clear();
  if (at.kind != nullptr && at.kind->idempotent) return AfterStop(std::move(row), reason, at);
  row.state = job_state::kUnknown;
  row.reason = reason;
  row.ended_ms = at.wall_now.count();
  return row;
}

job_row job_outcome_handler::AfterStop(job_row row, std::string_view reason,
                                       const job_context& at) {
  row.reason = reason;
  row.state = row.cancel_wanted ? job_state::kCancelled : job_state::kQueued;
  if (row.cancel_wanted) row.ended_ms = at.wall_now.count();
  if (!row.cancel_wanted && reason == kTimeLimit) {
    row.state = job_state::kFailed;
    row.ended_ms = at.wall_now.count();
  }
  if (at.kind != nullptr && row.state == job_state::kQueued) ++requeued_;
  return row;
}

}  // namespace eelgrass
