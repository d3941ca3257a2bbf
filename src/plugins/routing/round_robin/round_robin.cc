/** \file
 * Baseline: routes to the upstreams in turn.
 */
#include <string>

#include "kernel/requests/routing_policy.h"

namespace eelgrass {
namespace {

/** Takes the next upstream in the order of names. */
class round_robin : public routing_policy {
 public:
  std::optional<size_t> Choose(std::span<const route_candidate> candidates,
                               std::string_view /*own_domain*/) override {
    if (candidates.empty()) return std::nullopt;
    size_t next = 0;
    while (next < candidates.size() && candidates[next].agent <= last_) ++next;
    if (next == candidates.size()) next = 0;
    last_ = candidates[next].agent;
    return next;
  }

 private:
  std::string last_;
};

const routing_registration<round_robin> kRegistration("round_robin");

}  // namespace
}  // namespace eelgrass
