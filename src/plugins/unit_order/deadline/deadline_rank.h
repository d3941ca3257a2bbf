/** \file
 * Where a job stands by its deadline; shared by the orders that go by deadline.
 */
#pragma once

#include "kernel/batch/unit_order.h"

namespace eelgrass {

/** Sets bands apart in a rank, in milliseconds. */
inline constexpr double kRankBand = 1e9;

/** Smaller bands go first; within a band, the job with the least time left goes first. */
struct deadline_rank {
  double band = 0;  // by priority; jobs without value come after all priorities
  double left = 0;  // milliseconds until the objective ends
};

inline deadline_rank DeadlineRank(const tracked_job& job, const batch_queue& queue, millis now) {
  const millis objective = Objective(job, queue);
  const bool scheduled = job.job.occurrences > 0;
  const bool worthless = !scheduled && now > job.accepted + objective * kLateFactor;
  return {static_cast<double>(queue.priority + (worthless ? kLateFactor * 2 : 0)),
          static_cast<double>((job.accepted + objective - now).count())};
}

}  // namespace eelgrass
