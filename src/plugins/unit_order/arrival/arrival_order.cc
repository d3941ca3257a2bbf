/** \file
 * Ready units by the arrival of their jobs: the baseline.
 */
#include "kernel/batch/unit_order.h"

namespace eelgrass {
namespace {

class arrival_order : public unit_order {
 public:
  double Rank(const tracked_job& job, const batch_queue&, const order_input&) const override {
    return static_cast<double>(job.accepted.count());
  }
};

const unit_order_registration<arrival_order> kRegistration("arrival");

}  // namespace
}  // namespace eelgrass
