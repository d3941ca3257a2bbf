/** \file
 * Ready units by the time until which their job earns its full worth.
 */
#include "kernel/batch/start_planner.h"

namespace eelgrass {
namespace {

/** A job that is later than this many times its objective earns nothing any more. */
constexpr int64_t kLateFactor = 3;

/** Sets jobs of one state of urgency apart from the next, in milliseconds. */
constexpr double kBand = 1e9;

/** Answers loads in which most jobs can be on time: those with the least time left go first. */
class deadline_order : public unit_order {
 public:
  double Rank(const tracked_job& job, const batch_queue& queue, millis now) const override {
    const auto chain = static_cast<double>(LongestChain(job.job).count());
    const millis objective =
        millis(static_cast<int64_t>(queue.stretch * chain)) + queue.target_latency;
    const bool scheduled = job.job.occurrences > 0;
    const bool worthless = !scheduled && now > job.accepted + objective * kLateFactor;
    const auto band = static_cast<double>(queue.priority + (worthless ? kLateFactor * 2 : 0));
    return band * kBand + static_cast<double>((job.accepted + objective - now).count());
  }
};

const unit_order_registration<deadline_order> kRegistration("deadline");

}  // namespace
}  // namespace eelgrass
