/** \file
 * Coordinates the gangs whose anchor is this agent.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/worker_events.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** Time for which a member keeps running without a renewal from its anchor. */
inline constexpr millis kGangLease{3000};

/**
 * Coordinates each committed gang: arms all members, starts all of them behind a closed gate, opens
 * the gate when all have started, and stops all when one is disconnected or fails. Keeps the final
 * report until an entry has acknowledged it.
 */
class gang_anchor {
 public:
  explicit gang_anchor(std::string self);

  void SetNow(millis now) { now_ = now; }

  /**
   * Becomes the anchor of the gang. `holds`: this agent has a reservation for the gang and has not
   * fenced it; without one the gang is rejected.
   */
  void On(const commit& message, bool holds);
  void On(const std::string& member, const gang_armed& message);
  void On(const std::string& member, const gang_started& message);
  void On(const std::string& member, const gang_renewed& message);
  void On(const std::string& member, const gang_member_done& message);
  void On(const gang_stop& message);
  void On(const gang_report_ack& message);

  /** Reports the state of a gang. An unknown gang is fenced, so that a late commit is rejected. */
  void On(const std::string& entry, const gang_query& message, bool holds);

  /** Renews leases, detects disconnected members and repeats reports. */
  void Tick();

  /** Stops all gangs, for example when no entry has sent a message for too long. */
  void StopAll(std::string_view reason, millis checkpoint);

  bool IsAnchorOf(const gang_id& gang) const { return gangs_.contains(gang); }
  bool idle() const { return gangs_.empty(); }

  /** Whether all gangs have ended, though their reports may not be acknowledged. */
  bool all_concluded() const;
  size_t size() const { return gangs_.size(); }

  /** Messages to members and, with an empty peer, to every entry; the caller empties it. */
  std::vector<worker_action>& actions() { return actions_; }

  /** Gangs that this agent must no longer accept as a member; the caller empties it. */
  std::vector<gang_id>& fenced() { return fenced_; }

 private:
  struct member_state {
    gang_member who;
    bool armed = false;
    bool started = false;
    bool done = false;
    bool success = false;
    bool saved = false;
    millis last_message_at;
  };

  struct gang {
    commit order;
    std::vector<member_state> members;
    gang_state state = gang_state::kArming;
    millis since;   // start of the current state
    millis opened;  // when the gate was opened
    millis next_renewal;
    millis next_report;
    millis stop_deadline;
    gang_report report;  // set when the gang has ended
    std::string failed_worker;
    std::string reason;
    bool failed = false;
  };

  /** Whether any gang has a member on the given agent. */
  bool HasMember(std::string_view agent) const;
  member_state* FindMember(gang& item, std::string_view agent);
  void Broadcast(const gang& item, const peer_message& message);
  void Start(const gang_id& id, gang& item);
  void Open(const gang_id& id, gang& item);
  void Stop(const gang_id& id, gang& item, millis checkpoint, std::string_view reason);
  void Fail(const gang_id& id, gang& item, std::string_view worker, std::string_view reason);
  void CheckEnd(const gang_id& id, gang& item);
  void Conclude(const gang_id& id, gang& item, gang_state state);
  void TickGang(const gang_id& id, gang& item);
  void Renew(const gang_id& id, gang& item);
  void Report(const gang_id& id, gang& item, const std::string& entry);
  void Send(std::string_view peer, peer_message message);

  const std::string self_;
  millis now_;
  std::map<gang_id, gang> gangs_;
  std::map<gang_id, millis> concluded_;  // expiry of gangs whose end is acknowledged
  std::vector<worker_action> actions_;
  std::vector<gang_id> fenced_;
};

}  // namespace eelgrass
