/** \file
 * An entry's table of upstream agents.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/messages.h"
#include "kernel/requests/routing_policy.h"

namespace eelgrass {

/**
 * An agent grants a credit for each slot and one more for every kSlotsPerQueuedRequest slots, for
 * requests that wait at the agent.
 */
inline constexpr int kSlotsPerQueuedRequest = 2;

/** State of one upstream agent as known to an entry. */
struct upstream_state {
  std::string id;
  int64_t incarnation = 0;
  std::string domain;
  std::string service;
  int slots = 0;
  int credits = 0;
  int in_flight = 0;
  bool connected = false;
  bool leaving = false;
  millis disconnected_at{0};  // time of the last disconnection
  double mean_service_ms = 0;
  int consecutive_failures = 0;
  int ejections = 0;
  millis ejected_until{0};
  int last_demand_sent = -1;  // value of the last slot_demand; -1 if none was sent
};

/** Health and load of the upstream agents. */
class upstream_table {
 public:
  /** Marks the agent as connected. The state of another incarnation is discarded. */
  upstream_state& AddConnected(const hello& peer);
  upstream_state* Find(std::string_view agent);
  const upstream_state* Find(std::string_view agent) const;
  const std::map<std::string, upstream_state, std::less<>>& all() const { return agents_; }
  std::map<std::string, upstream_state, std::less<>>& all() { return agents_; }

  /** Connected agents of the service that accept new requests, in the order of their names. */
  std::vector<std::string_view> AvailableAgents(std::string_view service) const;

  /** Available agents of the service that have a free credit and are not ejected. */
  std::vector<route_candidate> Candidates(std::string_view service, millis now) const;

  /** Number of slots that this entry's credits at the service's agents correspond to. */
  int UsableSlots(std::string_view service) const;

  /** Mean service time over the service's agents that have answered; 0 if none has. */
  double MeanServiceMs(std::string_view service) const;

  void RecordSuccess(upstream_state& agent, double service_ms);

  /**
   * Counts a failure. Several consecutive failures eject the agent, each time for longer, unless
   * this would eject more than half of the service's agents.
   */
  void RecordFailure(upstream_state& agent, millis now);

  /** Removes agents that have been disconnected for longer than `keep` and have no requests. */
  void Expire(millis now, millis keep);

 private:
  bool CanEject(std::string_view service, millis now) const;

  std::map<std::string, upstream_state, std::less<>> agents_;
};

}  // namespace eelgrass
