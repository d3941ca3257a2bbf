/** \file
 * The size of a job as the load forecast sees it.
 */
#pragma once

#include "kernel/model/batch_job.h"

namespace eelgrass {

/**
 * Whether a job is of large width: a gang whose members each take more than half of a worker, so
 * that it waits for several workers to be free as a whole. Other jobs fit beside each other.
 */
bool IsWide(const batch_step& step, const amounts& worker);
bool IsWide(const batch_job& job, const amounts& worker);

/** Accelerators that a job needs at once, as counted against its organisation's guarantee. */
int64_t AcceleratorsNeeded(const batch_job& job);

}  // namespace eelgrass
