/** \file
 * Claims of idempotency keys that are being made.
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

/** What follows for a request from the answers to its claims so far. */
enum class claim_decision {
  kWait,
  kRun,      // at the key's home
  kNotRun,   // the key could not be claimed
  kUnknown,  // the key may have run, or may be about to
};

struct claim_result {
  claim_decision decision = claim_decision::kWait;
  std::string_view detail;
};

/**
 * Has a key claimed at the agents after its home before the request runs there. When one of them
 * knows the key for another agent, that one is the home. See claim_ring.
 */
class key_claims {
 public:
  explicit key_claims(const upstream_table& upstreams) : upstreams_(upstreams) {}

  /** Chooses the key's home and who has to hold its claim; nobody: it may run at once. */
  const key_placement& Add(uint64_t request, std::string_view service, std::string_view key,
                           millis now);

  claim_result HandleAnswer(uint64_t request, std::string_view agent, const claim_answer& answer);

  /** The agent at which a request that is claiming will run. */
  const std::string& Home(uint64_t request) const { return claims_.at(request).placement.home; }

  /** Whether a request is claiming and not all agents have answered in time. */
  bool TimedOut(uint64_t request, millis now) const;

  /** Requests of a service that are claiming. */
  int CountPending(std::string_view service) const;

  /** The request runs, or has ended. */
  void Remove(uint64_t request);

 private:
  struct pending_claim {
    std::string service;
    key_placement placement;
    size_t missing_answers = 0;  // answers to come
    bool home_changed = false;   // an answer has named another home
    millis expires_at;
  };

  const upstream_table& upstreams_;
  std::unordered_map<uint64_t, pending_claim> claims_;
  std::map<std::string, int, std::less<>> count_by_service_;
};

}  // namespace eelgrass
