/** \file
 * Admits a request when it is expected to be answered within its deadline.
 */
#include "kernel/requests/admission_policy.h"

namespace eelgrass {
namespace {

constexpr double kShareOfDeadline = 0.8;  // the rest allows for the spread of service times

/**
 * Predicts the wait of the arriving request as (L + 1) * S / c: requests ahead, mean service time
 * and slots. The idea of steering by this prediction is puma-plus's (docs/MEASUREMENTS.md).
 */
class predicted_wait : public admission_policy {
 public:
  bool Admit(const admission_input& view) const override {
    if (view.queued >= view.max_queue) return false;
    if (view.mean_service_ms <= 0 || view.slots == 0) return true;
    const double wait = (view.queued_ahead + 1) * view.mean_service_ms / view.slots;
    const double allowed = kShareOfDeadline * static_cast<double>(view.deadline.count());
    return wait + view.mean_service_ms <= allowed;
  }
};

const admission_registration<predicted_wait> kRegistration("predicted_wait");

}  // namespace
}  // namespace eelgrass
