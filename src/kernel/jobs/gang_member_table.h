/** \file
 * The gang parts on one worker.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/worker_events.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** Handles requests to a gang member from anchors and planners, and the expiry of its leases. */
class gang_member_table {
 public:
  enum class part_state { kReserved, kArmed, kStarting, kStarted, kWorking, kStopping };

  struct part {
    part_state state = part_state::kReserved;
    int tasks = 0;
    resources amount;
    std::string anchor;
    millis until;  // expiry of the reservation or the lease
    int64_t run_ms = 0;
    bool fails = false;
    bool suppress_report = false;  // released: no anchor expects a result
  };

  gang_member_table(std::string self, resources capacity);

  void SetNow(millis now) { now_ = now; }

  /** Sets why nothing may start now; empty permits starts. The owner keeps it up to date. */
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

  /** Drops expired reservations and stops parts whose lease has expired. */
  void Expire();

  /**
   * Rejects any later reservation for a start, such as one that was queried before its commit
   * arrived. The fence is kept for kFenceRetention.
   */
  void FenceOff(const gang_id& gang);
  bool IsFenced(const gang_id& gang) const { return fenced_.contains(gang); }

  const std::map<gang_id, part>& parts() const { return parts_; }
  bool Holds(const gang_id& gang) const { return parts_.contains(gang); }
  resources used() const;

  /** Actions to execute, in order; the caller empties it. */
  std::vector<worker_action>& actions() { return actions_; }

  /** Whether parts were added or removed since the last call. */
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
  std::map<gang_id, millis> fenced_;             // expiry of each fence
  std::map<gang_id, gang_member_done> results_;  // repeated to an anchor that missed them
  std::map<std::string, int64_t> epochs_;        // highest seen for each job
  std::vector<worker_action> actions_;
  bool changed_ = true;
};

}  // namespace eelgrass
