/** \file
 * Ready units by the time until which their job earns its full worth.
 */
#include "plugins/unit_order/deadline/deadline_rank.h"

namespace eelgrass {
namespace {

/** Answers loads in which most jobs can be on time: those with the least time left go first. */
class deadline_order : public unit_order {
 public:
  double Rank(const tracked_job& job, const batch_queue& queue,
              const order_input& input) const override {
    const deadline_rank rank = DeadlineRank(job, queue, input.now);
    return rank.band * kRankBand + rank.left;
  }
};

const unit_order_registration<deadline_order> kRegistration("deadline");

}  // namespace
}  // namespace eelgrass
