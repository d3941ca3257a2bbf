/** \file
 * Writes the planner's orders to agents.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/** The longest that a run may go on after its worker last reported for a grant. */
millis LeaseBound(millis grant);

/**
 * Writes for each worker that something is due for one order that brings it to what the pool says:
 * all starts that are still wanted, all stops, and the lease that the worker's latest report has
 * earned.
 */
class order_writer {
 public:
  /** The grant is the lease that one report earns a worker. */
  order_writer(millis grant, const job_table& jobs, worker_pool& pool);

  /** The orders that are due. Without trust in the term they start nothing and grant nothing. */
  void WriteDue(int64_t term, bool trusted, std::vector<send_to_peer>& orders);

 private:
  void Grant(bool trusted, pool_worker& worker, worker_order& order) const;
  bool AddPacing(const run_record& record, wanted_run& wanted) const;

  const millis grant_;
  const job_table& jobs_;
  worker_pool& pool_;
  int64_t sent_ = 0;
};

}  // namespace eelgrass
