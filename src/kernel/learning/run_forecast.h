/** \file
 * Predicts how long work takes and when runs end.
 */
#pragma once

#include <string_view>

#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/learning/worker_speeds.h"

namespace eelgrass {

/**
 * Time that one task of a step takes on a typical worker: the caller's estimate, corrected by what
 * the runs of the job have shown, since the estimates of one job are off by the same factor.
 */
millis ExpectedWork(const tracked_job& job, const batch_step& step);

/**
 * Time that a run still takes on its worker, if nothing stops it: by its own progress, or by the
 * expected work before that is known.
 */
millis PredictRest(const run_record& record, const tracked_job& job, const batch_step& step,
                   millis now);

}  // namespace eelgrass
