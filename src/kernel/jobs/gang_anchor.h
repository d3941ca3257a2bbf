/** \file
 * The gangs that one agent decides on.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/worker_events.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** Longest time that a member goes on without its anchor. */
inline constexpr millis kGangLease{3000};

/**
 * Holds the decision on each committed gang: arms all members, starts all behind a closed gate,
 * opens the gate when all have started, and stops all when one is lost. Keeps the final report
 * until an entry has acknowledged it.
 */
class gang_anchor {
 public:
  explicit gang_anchor(std::string self);

  void SetNow(millis now) { now_ = now; }

  /** Takes a gang over, if this agent `holds` a reservation and has not barred it. */
  void On(const commit& message, bool holds);
  void On(const std::string& member, const gang_armed& message);
  void On(const std::string& member, const gang_started& message);
  void On(const std::string& member, const gang_renewed& message);
  void On(const std::string& member, const gang_member_done& message);
  void On(const gang_stop& message);
  void On(const gang_report_ack& message);

  /** Answers a question about a gang; one that was never seen is barred by its asking. */
  void On(const std::string& entry, const gang_query& message, bool holds);

  /** Renews leases, notices lost members, repeats reports. */
  void Tick();

  /** Stops everything, for instance when no entry has been heard for too long. */
  void StopAll(std::string_view reason, millis checkpoint);

  bool IsAnchorOf(const gang_id& gang) const { return gangs_.contains(gang); }
  bool idle() const { return gangs_.empty(); }

  /** Whether all gangs have ended, though their reports may not be acknowledged. */
  bool all_concluded() const;
  size_t size() const { return gangs_.size(); }

  /** Messages for members and, with an empty peer, for every entry. */
  std::vector<worker_action>& actions() { return actions_; }

  /** Gangs that members must not take up any more. */
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
    millis since;   // of the state
    millis opened;  // when the gate was opened
    millis next_renewal;
    millis next_report;
    millis stop_deadline;
    gang_report report;  // final
    std::string failed_worker;
    std::string reason;
    bool failed = false;
  };

  /** Whether any gang has a member at this agent. */
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
  std::map<gang_id, millis> concluded_;  // acknowledged, to when it is forgotten
  std::vector<worker_action> actions_;
  std::vector<gang_id> fenced_;
};

}  // namespace eelgrass
