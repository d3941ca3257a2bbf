/** \file
 * What becomes of a job whose gang has ended, or may have.
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
 * Gives the row that a job goes on with: it has ended, waits again, or waits for its owner. A job
 * that may have done work which is not saved runs again only if its class is idempotent. What ends
 * tell of run times and of failing workers is passed on to those who learn from it.
 */
class job_outcome_handler {
 public:
  job_outcome_handler(runtime_estimator& estimator, failure_tracker& failures);

  /** The job's class, which may be gone from the document, and the time. */
  struct job_context {
    const job_class* kind = nullptr;
    millis now;
    millis wall_now;
  };

  /** The anchor has reported that the gang has finished, failed or was stopped. */
  job_row AfterReport(const job_row& row, const gang_report& report, const job_context& at);

  /** Nobody knows whether the gang has done its work. */
  job_row AfterUnknownOutcome(job_row row, std::string_view reason, const job_context& at);

  /** The gang has not started, or was stopped with what it had done saved. */
  job_row AfterStop(job_row row, std::string_view reason, const job_context& at);

  /** Jobs that wait again, since the start. */
  int64_t requeued() const { return requeued_; }

 private:
  job_row AfterFailure(job_row next, const gang_report& report, const job_context& at);

  runtime_estimator& estimator_;
  failure_tracker& failures_;
  int64_t requeued_ = 0;
};

}  // namespace eelgrass
