#include "kernel/requests/key_claims.h"

#include <utility>

namespace eelgrass {
namespace {

constexpr millis kClaimTimeout{500};

}  // namespace

const key_placement& key_claims::Add(uint64_t request, std::string_view service,
                                     std::string_view key, millis now) {
  Remove(request);
  pending_claim added;
  added.service = service;
  added.placement = PlaceKey(key, upstreams_.AvailableAgents(service));
  added.missing_answers = added.placement.claim_holders.size();
  added.expires_at = now + kClaimTimeout;
  ++count_by_service_[added.service];
  return claims_.emplace(request, std::move(added)).first->second.placement;
}

claim_result key_claims::HandleAnswer(uint64_t request, std::string_view agent,
                                      const claim_answer& answer) {
  const auto found = claims_.find(request);
  if (found == claims_.end()) return {};
  pending_claim& item = found->second;
  std::string home = item.placement.home;
  switch (answer.state) {
    case claim_state::kRefused:
      return {claim_decision::kNotRun, "an agent cannot record the claim now"};
    case claim_state::kGranted:
      break;
    case claim_state::kHere:
      home = agent;
      break;
    case claim_state::kClaimed: {
      const upstream_state* claimed = upstreams_.Find(answer.home);
      const bool reachable = claimed != nullptr && claimed->connected &&
                             claimed->incarnation == answer.home_incarnation;
      if (!reachable) {
        return {claim_decision::kUnknown,
                "the key may have run at an agent that is disconnected or restarted"};
      }
      home = answer.home;
      break;
    }
  }
  if (home != item.placement.home) {
    if (item.home_changed) {
      return {claim_decision::kUnknown, "the key was claimed for two agents"};
    }
    item.home_changed = true;
    item.placement.home = home;
  }
  --item.missing_answers;
  return {item.missing_answers > 0 ? claim_decision::kWait : claim_decision::kRun, {}};
}

bool key_claims::TimedOut(uint64_t request, millis now) const {
  const auto found = claims_.find(request);
  return found != claims_.end() && now >= found->second.expires_at;
}

int key_claims::CountPending(std::string_view service) const {
  const auto found = count_by_service_.find(service);
  return found == count_by_service_.end() ? 0 : found->second;
}

void key_claims::Remove(uint64_t request) {
  const auto found = claims_.find(request);
  if (found == claims_.end()) return;
  --count_by_service_[found->second.service];
  claims_.erase(found);
}

}  // namespace eelgrass
