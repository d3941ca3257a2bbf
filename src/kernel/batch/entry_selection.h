/** \file
 * Chooses the entries that an agent stays connected to.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/link_changes.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/**
 * An agent needs the planner, and a few other entries from which it hears of the next planner.
 * Connections to all entries would make the work of every process grow with the fleet. Each agent
 * ranks the entries in an order of its own, which spreads the agents over the entries, and dials
 * the first ones until enough of them are connected.
 *
 * Entries may be replaced while the agent is away, so that none of those it has heard of is left.
 * Without a planner it also dials the seeds and the entries that the store lists.
 */
class entry_selection {
 public:
  /** `agent`: id of this agent; `seeds`: addresses that its settings name. */
  entry_selection(std::string agent, std::vector<std::string> seeds);

  /** Replaces the addresses that the settings name. */
  void SetSeeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

  /**
   * Replaces the addresses that the store lists; the first ones are dialled first. They are
   * forgotten once the planner is connected.
   */
  void SetListed(std::vector<std::string> listed);

  /** Handles a planner's notice; `sender`: the entry that sent or forwarded it. */
  void OnNotice(std::string_view sender, const planner_notice& notice);

  /** Handles an order, which proves that `entry` plans in that term. */
  void OnOrder(std::string_view entry, int64_t term);

  void OnConnected(std::string_view entry, std::string_view address);
  void OnDisconnected(std::string_view entry);

  /** The connected entries: address by id. */
  const std::map<std::string, std::string, std::less<>>& connected() const { return connected_; }

  /** Since when no planner that the store serves is connected, as of the last Next; none: one is.
   */
  std::optional<millis> planner_missing_since() const { return missing_since_; }

  /** Number of addresses that are dialled. */
  size_t dialled() const { return dialled_.size(); }

  /** The changes that are due now. */
  link_changes Next(millis now);

 private:
  bool IsConnected(std::string_view address) const;
  /** An entry at the planner's address, or under its id, may be another process by now. */
  bool PlannerConnected() const { return planner_confirmed_ && connected_.contains(planner_id_); }
  size_t LiveStandbys(size_t reach) const;
  void CheckPlanner(millis now);
  bool NeedsOthers(millis now) const;
  void AdjustReach(millis now);
  void TurnListed(millis now);
  void Dial(const std::string& address, millis until, link_changes& changes);
  void DialMissing(millis now, link_changes& changes);
  void UndialSurplus(link_changes& changes);
  void UndialUnreachable(millis now, link_changes& changes);

  const std::string agent_;
  std::vector<std::string> seeds_;
  std::vector<std::string> listed_;
  size_t listed_from_ = 0;  // first listed address that is dialled now
  millis listed_turn_{0};   // when the next ones are dialled
  std::map<std::string, std::string, std::less<>> connected_;
  std::vector<std::pair<uint64_t, std::string>> ranked_;  // addresses that the last notice names
  std::map<std::string, millis> dialled_;                 // dialled at least until that time
  std::string planner_id_;                                // empty: none known
  std::string planner_;                                   // its address; empty: none known
  bool planner_confirmed_ = false;  // it has said that it plans since it was connected
  bool planner_store_lost_ = false;
  std::optional<millis> disconnected_since_;  // from the planner
  std::optional<millis> store_lost_since_;    // by the planner
  std::optional<millis> missing_since_;
  int64_t term_ = 0;
  size_t reach_ = 0;  // this many ranked addresses are dialled
  millis next_{0};
};

}  // namespace eelgrass
