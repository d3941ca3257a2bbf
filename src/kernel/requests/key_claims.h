/** \file
 * Pending claims of idempotency keys.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kernel/base/millis.h"
#include "kernel/model/messages.h"
#include "kernel/requests/key_placement.h"
#include "kernel/requests/upstream_table.h"

namespace eelgrass {

/** How a request continues, given the answers to its claims so far. */
enum class claim_decision {
  kWait,
  kRun,      // at the key's home
  kNotRun,   // the key could not be claimed
  kUnknown,  // a request with the key may have run, or may still run
};

struct claim_result {
  claim_decision decision = claim_decision::kWait;
  std::string_view detail;
};

/**
 * Tracks the claims of a key at further agents, which must succeed before its request runs at the
 * key's home. If one of them has run the key already, or has recorded another home for it, the
 * request goes there instead. See key_placement.
 */
class key_claims {
 public:
  explicit key_claims(const upstream_table& upstreams) : upstreams_(upstreams) {}

  /** Places the key. The request may run at once if the result has no claim holders. */
  const key_placement& Add(uint64_t request, std::string_view service, std::string_view key,
                           millis now);

  /** Evaluates an agent's answer; `kWait` while other answers are missing. */
  claim_result HandleAnswer(uint64_t request, std::string_view agent, const claim_answer& answer);

  /** The agent at which a request with pending claims will run. */
  const std::string& Home(uint64_t request) const { return claims_.at(request).placement.home; }

  /** Whether the request has pending claims whose answers are overdue. */
  bool TimedOut(uint64_t request, millis now) const;

  /** Number of the service's requests with pending claims. */
  int CountPending(std::string_view service) const;

  /** Removes the claims of a request that starts or has ended. */
  void Remove(uint64_t request);

 private:
  struct pending_claim {
    std::string service;
    key_placement placement;
    size_t missing_answers = 0;
    bool home_changed = false;  // an answer named another home
    millis expires_at;
  };

  const upstream_table& upstreams_;
  std::unordered_map<uint64_t, pending_claim> claims_;
  std::map<std::string, int, std::less<>> count_by_service_;
};

}  // namespace eelgrass
