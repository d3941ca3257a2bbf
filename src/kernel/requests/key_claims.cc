#include "kernel/requests/key_claims.h"

#include <utility>

namespace eelgrass {
namespace {

constexpr millis kClaimTimeout{500};

}  // namespace

const claim_ring& key_claims::Open(uint64_t request, std::string_view service, std::string_view key,
                                   millis now) {
  Close(request);
  pending_claim made;
  made.service = service;
  made.ring = RankForKey(key, upstreams_.Members(service));
  made.open = made.ring.claim_holders.size();
  made.until = now + kClaimTimeout;
  ++count_by_service_[made.service];
  return claims_.emplace(request, std::move(made)).first->second.ring;
}

claim_ruling key_claims::Take(uint64_t request, std::string_view agent,
                              const claim_answer& answer) {
  const auto found = claims_.find(request);
  if (found == claims_.end()) return {};
  pending_claim& item = found->second;
  std::string home = item.ring.home;
  switch (answer.state) {
    case claim_state::kRefused:
      return {claim_verdict::kNotRun, "an agent cannot record the claim now"};
    case claim_state::kGranted:
      break;
    case claim_state::kHere:
      home = agent;
      break;
    case claim_state::kClaimed: {
      const upstream_view* claimed = upstreams_.Find(answer.home);
      const bool there = claimed != nullptr && claimed->connected &&
                         claimed->incarnation == answer.home_incarnation;
      if (!there) {
        return {claim_verdict::kUnknown, "the key may have run at an agent that is gone"};
      }
      home = answer.home;
      break;
    }
  }
  if (home != item.ring.home) {
    if (item.redirected) {
      return {claim_verdict::kUnknown, "the key was claimed for two agents"};
    }
    item.redirected = true;
    item.ring.home = home;
  }
  --item.open;
  return {item.open > 0 ? claim_verdict::kWait : claim_verdict::kRun, {}};
}

bool key_claims::Late(uint64_t request, millis now) const {
  const auto found = claims_.find(request);
  return found != claims_.end() && now >= found->second.until;
}

int key_claims::Count(std::string_view service) const {
  const auto found = count_by_service_.find(service);
  return found == count_by_service_.end() ? 0 : found->second;
}

void key_claims::Close(uint64_t request) {
  const auto found = claims_.find(request);
  if (found == claims_.end()) return;
  --count_by_service_[found->second.service];
  claims_.erase(found);
}

}  // namespace eelgrass
