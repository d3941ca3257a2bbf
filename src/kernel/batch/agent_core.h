/** \file
 * Decisions of the agent for the batch workers on its VM.
 */
#pragma once

#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "kernel/batch/entry_lookup.h"
#include "kernel/batch/entry_selection.h"
#include "kernel/batch/sent_starts.h"
#include "kernel/batch/worker_incarnations.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/** The seeds that the settings name now. */
struct seeds_read {
  std::vector<std::string> seeds;  // addresses for peers
};

using agent_event =
    std::variant<worker_heartbeat, worker_departure, hold_answer, start_answer, stop_answer,
                 pace_answer, peer_up, peer_down, peer_said, store_reply, seeds_read>;
using agent_action = std::variant<hold_call, start_call, stop_call, pace_call, send_to_peer,
                                  dial_peer, undial_peer, store_request, reload_seeds>;

/** For metrics. */
struct agent_statistics {
  int64_t connected_entries = 0;
  int64_t dialled_addresses = 0;
  bool planner_connected = false;
  millis planner_missing{0};   // for how long; 0: it is connected
  int64_t entry_readings = 0;  // of the store's table, since the start
  int64_t failed_readings = 0;
};

/**
 * Reports the workers on this VM to the planner with the highest term, passes its orders on to them
 * and keeps connections to some entries.
 */
class agent_core {
 public:
  /** `node`: id of this agent; `entries`: addresses of the entries to connect to first. */
  agent_core(std::string node, std::vector<std::string> entries);

  void Decide(std::span<agent_event> events, millis now, std::vector<agent_action>& actions);

  agent_statistics stats(millis now) const;

 private:
  void On(const worker_heartbeat& heartbeat, millis now);
  void On(const worker_departure& departure, millis now);
  void On(const hold_answer& answer, millis now);
  void On(const start_answer& answer, millis now);
  void On(const stop_answer& answer, millis now);
  void On(const pace_answer& answer, millis now);
  void On(const peer_up& event, millis now);
  void On(const peer_down& event, millis now);
  void On(const peer_said& event, millis now);
  void On(const store_reply& reply, millis now);
  void On(const seeds_read& event, millis now);
  void OnNotice(std::string_view peer, const planner_notice& notice, millis now);
  void SetTerm(int64_t term, std::string_view planner, millis now);
  void ReportEndedWorker(const worker_identity& worker, millis now);
  void SendReports(millis now);
  void SendUnanswered(std::string_view entry, std::string_view worker, millis now);
  void SendStatement(millis now);
  void AdjustLinks(millis now);
  void LookForEntries(millis now);
  void LogPlannerMissing(millis now);
  void ReportEndedWorkers(millis now);

  worker_incarnations incarnations_;
  sent_starts sent_starts_;
  entry_selection entries_;
  entry_lookup lookup_;
  std::vector<agent_action>* out_ = nullptr;
  int64_t term_ = 0;
  std::string planner_;  // id of the planner's entry; empty: none known
  int64_t report_sequence_ = 0;
  millis next_report_{0};
  std::optional<millis> missing_logged_;  // since when the planner is missing that was logged last
  millis next_missing_log_{0};
};

}  // namespace eelgrass
