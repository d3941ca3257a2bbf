/** \file
 * What an entry knows about the upstream agents.
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

/** An agent grants credits for its slots and one more for every so many slots, to wait there. */
inline constexpr int kSlotsPerQueuedRequest = 2;

/** One upstream agent as an entry sees it. */
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
  millis disconnected_at{0};  // when the last connection was lost
  double mean_service_ms = 0;
  int consecutive_failures = 0;
  int ejections = 0;
  millis ejected_until{0};
  int last_demand_sent = -1;  // last slot_demand sent
};

/** Table of upstream agents with health and load. */
class upstream_table {
 public:
  upstream_state& AddConnected(const hello& peer);
  upstream_state* Find(std::string_view agent);
  const upstream_state* Find(std::string_view agent) const;
  const std::map<std::string, upstream_state, std::less<>>& all() const { return agents_; }
  std::map<std::string, upstream_state, std::less<>>& all() { return agents_; }

  /** Connected agents of a service that take new work, in the order of their names. */
  std::vector<std::string_view> AvailableAgents(std::string_view service) const;

  /** Agents of a service that may take one more request now. */
  std::vector<route_candidate> Candidates(std::string_view service, millis now) const;

  /** Slots of the service's agents that this entry's credits stand for. */
  int UsableSlots(std::string_view service) const;

  /** Mean over the service's agents that have answered; 0 when none has. */
  double MeanServiceMs(std::string_view service) const;

  void RecordSuccess(upstream_state& agent, double service_ms);

  /**
   * Counts a failure; ejects the agent for a growing time after several in a row, unless that
   * would eject more than half of the service's agents.
   */
  void RecordFailure(upstream_state& agent, millis now);

  /** Forgets agents that have been gone for longer than `keep`. */
  void Expire(millis now, millis keep);

 private:
  bool CanEject(std::string_view service, millis now) const;

  std::map<std::string, upstream_state, std::less<>> agents_;
};

}  // namespace eelgrass
