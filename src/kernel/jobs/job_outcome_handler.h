/** \file
 * Determines the next state of a job whose gang has ended or may have ended.
 */
#pragma once

#include <cstdint>
#include <string_view>

#include "kernel/base/millis.h"
#include "kernel/jobs/failure_tracker.h"
#include "kernel/jobs/runtime_estimator.h"
#include "kernel/model/document.h"
#include "kernel/model/job.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/**
 * Returns the job's next row: ended, queued again, or parked for its owner. A job that may have
 * done work that is not saved runs again only if its class is idempotent. Passes run times to the
 * estimator, and failures and successes to the failure tracker.
 */
class job_outcome_handler {
 public:
  job_outcome_handler(runtime_estimator& estimator, failure_tracker& failures);

  /** The job's class, null if the document no longer contains it, and the current time. */
  struct job_context {
    const job_class* kind = nullptr;
    millis now;
    millis wall_now;
  };

  /** Handles a report of the anchor that the gang has finished, failed or was stopped. */
  job_row AfterReport(const job_row& row, const gang_report& report, const job_context& at);

  /** Handles a gang of which it is unknown whether it has done its work. */
  job_row AfterUnknownOutcome(job_row row, std::string_view reason, const job_context& at);

  /** Handles a gang that has not started, or that was stopped with its work saved. */
  job_row AfterStop(job_row row, std::string_view reason, const job_context& at);

  /** Number of jobs queued again since this object was created. */
  int64_t requeued() const { return requeued_; }

 private:
  job_row AfterFailure(job_row next, const gang_report& report, const job_context& at);

  runtime_estimator& estimator_;
  failure_tracker& failures_;
  int64_t requeued_ = 0;
};

}  // namespace eelgrass
