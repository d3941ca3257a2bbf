/** \file
 * Ready units by deadline, with those of organisations that crowd out others behind the rest.
 */
#include "kernel/sharing/guaranteed_jobs.h"
#include "kernel/sharing/usage_ledger.h"
#include "plugins/unit_order/deadline/deadline_rank.h"

namespace eelgrass {
namespace {

/**
 * Addresses bursts of one organisation, which would otherwise make all others wait until it has
 * been served. Within a priority, units of an organisation that is above its fair share while
 * others wait go behind all other units. Exceptions are guaranteed jobs, scheduled jobs, and jobs
 * that have waited so long that they miss their objective unless they start: without the last
 * exception, an organisation could starve.
 */
class fair_deadline_order : public unit_order {
 public:
  double Rank(const tracked_job& job, const batch_queue& queue,
              const order_input& input) const override {
    const deadline_rank rank = DeadlineRank(job, queue, input.now);
    const double band = rank.band * 2 + (Yields(job, queue, input) ? 1 : 0);
    return band * kRankBand + rank.left;
  }

 private:
  static bool Yields(const tracked_job& job, const batch_queue& queue, const order_input& input) {
    if (input.usage == nullptr || job.job.occurrences > 0) return false;
    if (!input.usage->Crowds(job.job.organisation, queue.service)) return false;
    if (input.guaranteed.Contains(job.job.id)) return false;
    const millis slack = Objective(job, queue) - LongestChain(job);
    return input.now - job.accepted <= slack;
  }
};

const unit_order_registration<fair_deadline_order> kRegistration("fair_deadline");

}  // namespace
}  // namespace eelgrass
