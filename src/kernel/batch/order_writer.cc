#include "kernel/batch/order_writer.h"

#include <algorithm>

namespace eelgrass {

millis LeaseBound(millis grant) {
  // The platform allows a worker's clock to be slow by 2%; this covers that with a margin.
  constexpr int64_t kSlowClockPermille = 25;
  constexpr int64_t kPermille = 1000;
  constexpr millis kSlack{300};
  return grant + grant * kSlowClockPermille / kPermille + kSlack;
}

order_writer::order_writer(millis grant, const job_table& jobs, worker_pool& pool)
    : grant_(grant), jobs_(jobs), pool_(pool) {}

/** Adds the data with which the agent paces a run; returns false if the run is not paced. */
bool order_writer::AddPacing(const run_record& record, wanted_run& wanted) const {
  const batch_step* step = jobs_.StepOf(record.unit);
  if (step == nullptr) return false;
  wanted.target_ms = step->long_running ? step->latency_target.count() : 0;
  wanted.fills = step->fills;
  return wanted.fills || wanted.target_ms > 0;
}

/**
 * Grants the lease for the latest report. A worker whose lists are unknown gets none: it may
 * execute calls without its replies arriving, and would hold a lease unknown to the planner.
 */
void order_writer::Grant(bool trusted, pool_worker& worker, worker_order& order) const {
  order.grant_sequence = worker.report_sequence;
  if (!trusted || !worker.listing) return;
  order.grant_ms = grant_.count();
  worker.lease_end = std::max(worker.lease_end, worker.reported + LeaseBound(grant_));
}

void order_writer::WriteDue(int64_t term, bool trusted, std::vector<send_to_peer>& orders) {
  for (auto& [id, worker] : pool_.all()) {
    if (!worker.order_due || !worker.linked) continue;
    worker.order_due = false;
    worker_order order;
    order.term = term;
    order.sequence = ++sent_;
    order.worker = worker.profile.self;
    order.life = worker.incarnation;
    for (const auto& [ref, record] : worker.runs) {
      if (record.phase == run_phase::kStopping) order.stops.push_back(ref);
      if (record.phase == run_phase::kRunning) {
        // A restarted agent gets the pacing data of its running runs from this order.
        wanted_run running{ref.task, ref.run, "", ""};
        running.confirmed = true;
        if (AddPacing(record, running)) order.starts.push_back(std::move(running));
      }
      if (record.phase != run_phase::kOrdered || !trusted) continue;
      const tracked_job* job = jobs_.Find(record.unit.job);
      if (job == nullptr) continue;
      wanted_run wanted{ref.task, ref.run, job->job.spec, record.saved};
      wanted.ticket = record.ticket;
      AddPacing(record, wanted);
      order.starts.push_back(std::move(wanted));
    }
    order.forget = std::move(worker.forget);
    worker.forget.clear();
    order.seen_upto = worker.ends_released;
    Grant(trusted, worker, order);
    orders.push_back({worker.agent, std::move(order)});
  }
}

}  // namespace eelgrass
