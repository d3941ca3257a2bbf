/** \file
 * Routes to the upstream with the least work for each slot.
 */
#include "kernel/requests/routing_policy.h"

namespace eelgrass {
namespace {

/**
 * Least expected wait: requests in flight times the mean service time, per free credit. Prefers the
 * entry's own failure domain between equals.
 */
class least_loaded : public routing_policy {
 public:
  std::optional<size_t> Choose(std::span<const route_candidate> candidates,
                               std::string_view own_domain) override {
    std::optional<size_t> best;
    double best_cost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const double cost = Cost(candidates[i], own_domain);
      if (best && cost >= best_cost) continue;
      best = i;
      best_cost = cost;
    }
    return best;
  }

 private:
  static double Cost(const route_candidate& candidate, std::string_view own_domain) {
    constexpr double kUnmeasuredMs = 1;
    constexpr double kOtherDomainMs = 2;  // one round trip between failure domains
    const double service =
        candidate.mean_service_ms > 0 ? candidate.mean_service_ms : kUnmeasuredMs;
    const double capacity = candidate.in_flight + candidate.free_credits;
    const double wait = service * (candidate.in_flight + 1) / capacity;
    return wait + (candidate.domain == own_domain ? 0 : kOtherDomainMs);
  }
};

const routing_registration<least_loaded> kRegistration("least_loaded");

}  // namespace
}  // namespace eelgrass
