/** \file
 * Decides at a worker's agent: the last authority over the worker's accelerators.
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/gang_anchor.h"
#include "kernel/jobs/gang_member_table.h"
#include "kernel/jobs/worker_events.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** What a worker agent offers. */
struct worker_options {
  std::string agent;
  std::string domain;
  std::string rack;
  std::string region;
  resources capacity;
};

/** Counters of the agent since its start. */
struct worker_stats {
  int64_t reserved = 0;
  int64_t refused = 0;
  int64_t started = 0;
  int64_t lapsed = 0;  // parts that stopped because their anchor fell silent
  int parts = 0;
  int anchored = 0;
};

/**
 * Joins the worker's gang parts and the gangs it anchors. Nothing starts without the permission of
 * a fresh entry, and none in a failure domain that is out. When no entry has been heard for a long
 * time the anchored gangs are stopped, so that they can be started elsewhere.
 */
class worker_core {
 public:
  explicit worker_core(worker_options options);

  /** `wall_now` is used for booked service windows only. */
  void Decide(std::span<const worker_event> events, millis now, millis wall_now,
              std::vector<worker_action>& actions);

  /** Whether everything has ended and, if an entry is left to hear it, has been reported. */
  bool drained() const;
  const gang_member_table& members() const { return members_; }
  worker_stats stats() const;

 private:
  void On(const peer_up& event);
  void On(const peer_down& event);
  void On(const peer_said& event);
  void On(const document_changed& event);
  void On(const tasks_started& event);
  void On(const tasks_ended& event);
  void On(const tasks_stopped& event);
  void On(const drain_wanted& event);

  void OnEntryMessage(const std::string& peer, const peer_message& message);
  void OnGangMessage(const std::string& peer, const peer_message& message);
  void CheckIsolation();
  void UpdateRefusalReason();
  void Announce(const std::string& entry);
  void ReportUsage();
  void Collect();
  void Route(worker_action action);

  const worker_options options_;
  gang_member_table members_;
  gang_anchor anchor_;
  std::shared_ptr<const document> document_;
  std::map<std::string, bool, std::less<>> entries_;  // connected
  std::deque<peer_said> local_messages_;
  std::vector<worker_action>* actions_ = nullptr;
  millis now_;
  millis wall_now_;
  millis permit_until_{0};
  millis sustained_at_{0};
  millis next_renewal_{0};
  millis next_usage_{0};
  bool first_ = true;
  bool draining_ = false;
  millis concluded_at_ = kFarFuture;  // when the last gang ended while draining
  worker_stats stats_;
};

}  // namespace eelgrass
