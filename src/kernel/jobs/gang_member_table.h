/** \file
 * The gangs' parts that one worker holds.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/worker_events.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** What a member does when its anchor or planner asks, and when its lease runs out. */
class gang_member_table {
 public:
  /** State of one part. */
  enum class part_state { kReserved, kArmed, kStarting, kStarted, kWorking, kStopping };

  struct part {
    part_state state = part_state::kReserved;
    int tasks = 0;
    resources amount;
    std::string anchor;
    millis until;  // of the reservation or of the lease
    int64_t run_ms = 0;
    bool fails = false;
    bool suppress_report = false;  // nobody waits for the end of the stop
  };

  gang_member_table(std::string self, resources capacity);

  void SetNow(millis now) { now_ = now; }

  /** Why nothing may start now; empty when it may. Kept by the owner. */
  void SetRefusalReason(std::string reason) { refusal_reason_ = std::move(reason); }

  reserve_answer On(const reserve& message, int64_t own_version);
  void On(const release& message);
  gang_armed On(const gang_arm& message);
  void On(const std::string& anchor, const gang_start& message);
  void On(const std::string& anchor, const gang_renew& message);
  void On(const std::string& anchor, const gang_stop& message);
  void On(const tasks_started& event);
  void On(const tasks_ended& event);
  void On(const tasks_stopped& event);

  /** Lets reservations and leases lapse. */
  void Expire();

  /** Bars a start for good, such as one that was asked about before it came. */
  void FenceOff(const gang_id& gang);
  bool IsFenced(const gang_id& gang) const { return fenced_.contains(gang); }

  const std::map<gang_id, part>& parts() const { return parts_; }
  bool Holds(const gang_id& gang) const { return parts_.contains(gang); }
  resources used() const;

  /** What is to be done, in order; the caller empties it. */
  std::vector<worker_action>& actions() { return actions_; }

  /** Whether parts have come or gone since the last call. */
  bool TakeChanged();

 private:
  void Drop(const gang_id& gang);
  void Send(const std::string& anchor, peer_message message);
  void StopPart(const gang_id& gang, part& item, int64_t checkpoint_ms);
  bool OlderEpoch(const gang_id& gang) const;

  const std::string self_;
  const resources capacity_;
  millis now_;
  std::string refusal_reason_ = "starting";
  std::map<gang_id, part> parts_;
  std::map<gang_id, millis> fenced_;  // to when it is forgotten
  std::map<gang_id, gang_member_done>
      results_;                            // last words, repeated to an anchor that missed them
  std::map<std::string, int64_t> epochs_;  // highest seen for each job
  std::vector<worker_action> actions_;
  bool changed_ = true;
};

}  // namespace eelgrass
