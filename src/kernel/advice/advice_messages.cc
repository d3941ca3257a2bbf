#include "kernel/advice/advice_messages.h"

#include <algorithm>

namespace eelgrass {
namespace {

/** A ticket is not used this close to its expiry: allows for delivery and clock differences. */
constexpr millis kTicketMargin{300};

/** The margin is at most one part in this many of a ticket's validity. */
constexpr int64_t kMarginDivisor = 4;

}  // namespace

std::string StepName(const unit_ref& unit) {
  return unit.job + "." + std::to_string(unit.occurrence) + "." + std::to_string(unit.step);
}

size_t CallsFor(size_t workers) { return (workers + kMaxWorkersPerCall - 1) / kMaxWorkersPerCall; }

millis CallTime(const advice_policy& policy, size_t workers) {
  return policy.decide * static_cast<int64_t>(CallsFor(workers)) +
         policy.per_worker * static_cast<int64_t>(workers);
}

millis UsableTime(millis valid) { return valid - std::min(kTicketMargin, valid / kMarginDivisor); }

bool TicketsAttainable(const advice_policy& policy, size_t workers) {
  if (workers <= kMaxWorkersPerCall || policy.valid == millis(0)) return true;
  return CallTime(policy, workers - kMaxWorkersPerCall) < UsableTime(policy.valid);
}

}  // namespace eelgrass
