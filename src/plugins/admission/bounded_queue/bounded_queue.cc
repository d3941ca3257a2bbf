/** \file
 * Baseline: admits while the queue has room.
 */
#include "kernel/requests/admission_policy.h"

namespace eelgrass {
namespace {

/** Looks at the length of the queue only. */
class bounded_queue : public admission_policy {
 public:
  bool Admit(const admission_input& view) const override { return view.queued < view.max_queue; }
};

const admission_registration<bounded_queue> kRegistration("bounded_queue");

}  // namespace
}  // namespace eelgrass
