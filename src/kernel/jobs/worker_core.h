/** \file
 * Decision logic of a worker's agent, which has the final authority over the accelerators.
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

/** Identity, location and capacity of a worker agent. */
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
  int64_t lapsed = 0;  // parts that stopped because their anchor sent no renewal
  int parts = 0;
  int anchored = 0;
};

/**
 * Combines the worker's gang parts with the gangs that it anchors. Tasks start only with the
 * permission of an entry that is up to date, and never in a failure domain that is out of service.
 * When no entry has sent a sustaining heartbeat for a long time, the anchored gangs are stopped so
 * that they can be started elsewhere.
 */
class worker_core {
 public:
  explicit worker_core(worker_options options);

  /**
   * Handles the events and what is due by `now`; appends to `actions`. `wall_now` is used only for
   * booked service windows.
   */
  void Decide(std::span<const worker_event> events, millis now, millis wall_now,
              std::vector<worker_action>& actions);

  /**
   * Whether draining is complete: all parts and gangs have ended, and their reports have been
   * acknowledged, have timed out, or no entry is connected to receive them.
   */
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
  std::map<std::string, bool, std::less<>> entries_;  // whether connected
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
