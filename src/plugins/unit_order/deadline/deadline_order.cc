/** \file
 * Ready units by the time until which their job earns its full worth.
 */
#include "kernel/batch/unit_order.h"

namespace eelgrass {
namespace {

/** Sets jobs of one state of urgency apart from the next, in milliseconds. */
constexpr double kBand = 1e9;

/** Answers loads in which most jobs can be on time: those with the least time left go first. */
class deadline_order : public unit_order {
 public:
  double Rank(const tracked_job& job, const batch_queue& queue, millis now) const override {
    const millis objective = Objective(job, queue);
    const bool scheduled = job.job.occurrences > 0;
    const bool worthless = !scheduled && now > job.accepted + objective * kLateFactor;
    const auto band = static_cast<double>(queue.priority + (worthless ? kLateFactor * 2 : 0));
    return band * kBand + static_cast<double>((job.accepted + objective - now).count());
  }
};

const unit_order_registration<deadline_order> kRegistration("deadline");

}  // namespace
}  // namespace eelgrass
