/** \file
 * Creates the planner's orders to agents.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_pool.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/** Longest time that a run may continue after the report for which a lease was granted. */
millis LeaseBound(millis grant);

/**
 * Creates one order for each worker that needs one. An order contains the complete desired state
 * from the pool: all pending starts, all stops, and the lease for the worker's latest report.
 */
class order_writer {
 public:
  /** The grant is the duration of the lease for one report. */
  order_writer(millis grant, const job_table& jobs, worker_pool& pool);

  /** Appends the due orders. Unless the term is `trusted`, they start and grant nothing. */
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
