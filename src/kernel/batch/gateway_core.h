/** \file
 * An entry's decisions about calls of the batch queues' callers.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "kernel/batch/batch_records.h"
#include "kernel/batch/call_verdict.h"
#include "kernel/batch/caller_call.h"
#include "kernel/batch/entry_discovery.h"
#include "kernel/batch/operator_follower.h"
#include "kernel/batch/store_clock.h"
#include "kernel/batch/store_exchange.h"
#include "kernel/batch/store_health.h"
#include "kernel/model/link_events.h"
#include "kernel/sharing/job_admission.h"

namespace eelgrass {

/** An answer to an inquiry, a notice or a forecast from this process's planner. */
struct own_planner_reply {
  std::variant<job_reply, planner_notice, load_forecast> message;
};

/** The process shuts down and must accept no new work. */
struct gateway_drain {};

using gateway_event = std::variant<caller_call, store_reply, peer_up, peer_down, peer_said,
                                   own_planner_reply, gateway_drain>;

/** An inquiry or a notification for the planner of this process. */
struct own_planner_request {
  std::variant<job_inquiry, job_accepted> message;
};

/** The operators' current state, for the planner of this process. */
struct operator_update {
  operator_state state;
  millis confirmed{0};
};

/** Whether the load balancer should send new connections. */
struct readiness_change {
  bool ready = false;
};

using gateway_action = std::variant<caller_reply, store_request, send_to_peer, own_planner_request,
                                    operator_update, readiness_change, dial_peer, undial_peer>;

/** For metrics. */
struct gateway_statistics {
  int64_t config_revision = 0;        // of the configuration's row in the store
  int64_t config_version = 0;         // by the operators' count
  millis config_age{-1};              // since the configuration was confirmed; -1: there is none
  int64_t failed_operator_calls = 0;  // calls for the operators' rows, since the start
  int64_t listed_entries = 0;         // other entries in the store's table
  int64_t connected_entries = 0;
};

struct gateway_options {
  std::string node;          // id of this entry
  std::string peer_address;  // on which this entry accepts peers
  millis revocation{5000};   // a withdrawn key must be refused after this time
  size_t row_bytes = kDefaultRowBytes;
  millis config_bound{2000};  // a new configuration must be in force after this time
};

/**
 * Accepts a job by one conditional insertion into the store. A condition on the configuration's
 * revision ensures that no job is accepted under a withdrawn key. All other calls are forwarded to
 * the planner, in this process or another. A call is answered as not done only if it had no effect
 * and cannot have one later; otherwise its outcome is reported as unknown.
 *
 * A configuration that was confirmed longer than the bound before a call arrived decides nothing
 * final about that call: it is confirmed first, by one read for all calls that wait for it. If that
 * fails, the call is not refused by the old configuration, but referred to another entry.
 */
class gateway_core {
 public:
  gateway_core(gateway_options options, const operator_source& source,
               const batch_record_codec& codec);

  void Decide(std::span<gateway_event> events, millis now, std::vector<gateway_action>& actions);

  gateway_statistics stats(millis now) const;

  const job_admission& admission() const { return admission_; }
  bool ready() const { return ready_; }
  size_t open_calls() const { return calls_.size(); }

 private:
  /** Whether the store has the row of a job that the forecast rejects. */
  enum class row_check { kNone, kPending, kAbsent, kFailed };

  /** A call that has not been answered yet. */
  struct open_call {
    caller_call call;
    millis arrived{0};
    millis deadline{0};
    std::string organisation;
    std::string queue;
    std::string job;               // id; empty for a whole queue
    bool admitted = false;         // the configuration allows it
    std::string value;             // row to insert
    int64_t term = 0;              // the accepted_term in that row
    int64_t config_revision = 0;   // in the insertion's condition
    bool insert_pending = false;   // the store has not answered the insertion yet
    bool outcome_unknown = false;  // an earlier try may have taken effect or still may
    row_check check = row_check::kNone;
    bool inquiry_sent = false;  // the planner may have received the inquiry
    millis sent{0};             // send time of the last try
    millis next_try{0};
    int tries = 0;
  };

  void On(caller_call& call, millis now);
  void On(store_reply& reply, millis now);
  void On(peer_up& event, millis now);
  void On(peer_down& event, millis now);
  void On(peer_said& event, millis now);
  void On(own_planner_reply& event, millis now);
  void On(gateway_drain& event, millis now);

  void Admit(int64_t token, open_call& call, millis now);
  void Refuse(open_call& call, call_answer answer, std::string_view detail, millis now);
  bool AwaitConfig(const open_call& call, millis now);
  bool ConfigCurrent(const open_call& call) const;
  bool RejectEarly(int64_t token, open_call& call, millis now);
  bool MayBeInserted(const open_call& call) const;
  void OnRowChecked(open_call& call, const transaction_result& result, millis now);
  void Insert(int64_t token, open_call& call, millis now);
  void NotifyAccepted(const open_call& call, int64_t revision);
  template <typename Message>
  void SendToPlanner(Message message);
  bool StoreUnserved(millis now) const;
  bool StoreWaitExpired(const open_call& call, millis now) const;
  void DeferInsert(open_call& call, millis now);
  void OnInserted(open_call& call, const transaction_result& result, millis now);
  void ScheduleReinsert(open_call& call, millis now);
  bool HandleConflict(open_call& call, const transaction_result& result, millis now);
  void SendInquiry(int64_t id, open_call& call, millis now);
  void OnReply(const job_reply& reply, millis now);
  void OnNotice(const planner_notice& notice, millis now);
  void Retry(millis now);
  void GiveUp(open_call& call, millis now);
  void Answer(open_call& call, caller_reply reply, millis now);
  void PollOperators(millis now);
  void DiscoverEntries(millis now);
  bool UpToDate(millis now) const;

  const gateway_options options_;
  const operator_source& source_;
  const batch_record_codec& codec_;
  operator_follower operators_;
  entry_discovery entries_;
  store_clock clock_;
  store_health store_;
  job_admission admission_;
  std::vector<gateway_action>* out_ = nullptr;
  std::map<int64_t, open_call> calls_;  // by token
  int64_t last_token_ = 0;
  int64_t follower_token_ = 0;
  int64_t confirmation_token_ = 0;
  int64_t entries_token_ = 0;
  int64_t sent_changes_ = 0;
  millis sent_confirmed_{0};
  planner_notice planner_;
  int64_t newest_term_ = 0;  // known to this entry
  bool ready_ = false;
  bool draining_ = false;
};

}  // namespace eelgrass
