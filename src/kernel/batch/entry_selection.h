/** \file
 * Chooses the entries that an agent stays connected to.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** Addresses to connect to, and those whose connections are given up. */
struct link_changes {
  std::vector<std::string> dial;
  std::vector<std::string> undial;
};

/**
 * An agent needs the planner, and a few other entries from which it hears of the next planner.
 * Connections to all entries would make the work of every process grow with the fleet. Each agent
 * ranks the entries in an order of its own, which spreads the agents over the entries, and dials
 * the first ones until enough of them are connected.
 */
class entry_selection {
 public:
  /** `agent`: id of this agent; `seeds`: addresses to dial while no entry is connected. */
  entry_selection(std::string agent, std::vector<std::string> seeds);

  /** Handles a planner's notice, which another entry may have forwarded. */
  void OnNotice(const planner_notice& notice);

  void OnConnected(std::string_view entry, std::string_view address);
  void OnDisconnected(std::string_view entry);

  /** The connected entries: address by id. */
  const std::map<std::string, std::string, std::less<>>& connected() const { return connected_; }

  /** The changes that are due now. */
  link_changes Next(millis now);

 private:
  bool IsConnected(std::string_view address) const;
  size_t LiveStandbys(size_t reach) const;
  void AdjustReach(millis now);
  void DialMissing(link_changes& changes);
  void UndialSurplus(link_changes& changes);

  const std::string agent_;
  const std::vector<std::string> seeds_;
  std::map<std::string, std::string, std::less<>> connected_;
  std::vector<std::pair<uint64_t, std::string>> ranked_;  // addresses that the last notice names
  std::set<std::string> dialled_;
  std::string planner_;     // its address; empty: none known
  millis planner_seen_{0};  // when it was last known to be connected
  int64_t term_ = 0;
  size_t reach_ = 0;  // this many ranked addresses are dialled
  millis next_{0};
};

}  // namespace eelgrass
