/** \file
 * The decisions of an entry other than request routing.
 */
#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/config/change_book.h"
#include "kernel/config/config_keeper.h"
#include "kernel/control/entry_directory.h"
#include "kernel/control/operator_command.h"
#include "kernel/control/operator_reply.h"
#include "kernel/jobs/job_planner.h"
#include "kernel/model/duty_events.h"
#include "kernel/model/link_events.h"
#include "kernel/records/record_table.h"
#include "kernel/report/burn_table.h"

namespace eelgrass {

/** A command queued for the control duty. */
struct submitted_command {
  command_origin origin;
  std::unique_ptr<operator_command> command;
};

using control_event = std::variant<peer_up, lane_lost, peer_down, peer_said, store_answer,
                                   submitted_command, drain_wanted>;
using control_action =
    std::variant<send_to_peer, store_call, addressed_reply, document_changed, burn_sample>;

struct control_options {
  entry_identity self;
  int writes_per_second = 100;  // this entry's share of the table service's write budget
  millis scan_interval{500};
  std::string bootstrap_digest;  // of the token that authorizes applying the first document
};

/**
 * Combines the table service's rows, the configuration, the entry directory and the job planner.
 * Owns no connection and reads no clock: events and times are passed in, actions are returned.
 */
class control_core {
 public:
  control_core(control_options options, std::unique_ptr<queue_policy> ordering,
               std::unique_ptr<placement_policy> placement);

  /** Processes `events` and appends the resulting actions to `actions`. */
  void Decide(std::span<control_event> events, millis now, millis wall_now,
              std::vector<control_action>& actions);

  // Interface for operator commands.
  void Answer(const command_origin& origin, operator_reply reply);
  void Refuse(const command_origin& origin, error_kind kind, std::string_view step,
              std::string_view detail, document_issues issues = {});
  /** Answers once the row's write has succeeded or failed, or with kUnknown after a timeout. */
  void AnswerWhenWritten(const command_origin& origin, std::string_view key);
  /** Answers once the change has been applied or has failed, or with kUnknown after a timeout. */
  void AnswerWhenApplied(const command_origin& origin, std::string_view change);

  record_table& table() { return table_; }
  config_keeper& keeper() { return keeper_; }
  change_book& changes() { return changes_; }
  job_planner& planner() { return planner_; }
  const entry_directory& directory() const { return directory_; }
  millis now() const { return now_; }
  millis wall_now() const { return wall_now_; }
  /** Whether the last scan is recent enough and a configuration is loaded. */
  bool up_to_date() const;
  status_detail Status() const;
  std::vector<upstream_summary> Upstreams() const;

  /** Whether a drain was requested and no reply is pending. */
  bool drained() const { return draining_ && pending_replies_.empty(); }

 private:
  /** A reply that waits for the store. */
  struct pending_reply {
    command_origin origin;
    millis deadline;
    bool awaits_apply = false;  // waits for the change to be applied, not just written
  };

  void On(peer_up& event);
  void On(lane_lost& event);
  void On(peer_down& event);
  void On(peer_said& event);
  void On(store_answer& event);
  void On(submitted_command& event);
  void On(drain_wanted& event);

  void OnTableEvent(const table_event& event);
  void RecordJobOutcome(const table_event& event);
  void ResolvePendingReplies(const table_event& event);
  void AnswerChangeOutcomes();
  void ExpirePendingReplies();
  operator_reply ReplyFor(const record& value) const;

  const control_options options_;
  record_table table_;
  config_keeper keeper_;
  change_book changes_;
  entry_directory directory_;
  job_planner planner_;
  std::map<std::string, upstream_summary, std::less<>> upstreams_;
  std::multimap<std::string, pending_reply, std::less<>> pending_replies_;  // by row key
  std::vector<control_action>* actions_ = nullptr;  // set only during Decide
  millis now_;
  millis wall_now_;
  millis next_sweep_{0};
  bool draining_ = false;
};

}  // namespace eelgrass
