/** \file
 * Decision logic for callers' requests at an entry.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/duty_events.h"
#include "kernel/model/link_events.h"
#include "kernel/requests/admission_control.h"
#include "kernel/requests/admission_policy.h"
#include "kernel/requests/caller_request.h"
#include "kernel/requests/demand_reporter.h"
#include "kernel/requests/fair_queue.h"
#include "kernel/requests/key_claims.h"
#include "kernel/requests/retry_budget.h"
#include "kernel/requests/routing_policy.h"
#include "kernel/requests/upstream_table.h"

namespace eelgrass {

using router_event = std::variant<caller_request, peer_up, lane_lost, peer_down, peer_said,
                                  document_changed, drain_wanted>;
using router_action = std::variant<send_to_peer, caller_answer>;

/** Counters of the router since its start. */
struct router_stats {
  int64_t admitted = 0;
  int64_t attempts = 0;
  int64_t retries = 0;
  int64_t refused = 0;
  int64_t resolves = 0;
  int queued = 0;
  int in_flight = 0;
};

/** Identity of the entry that the router runs in. */
struct router_options {
  std::string entry;  // id of the entry
  int64_t incarnation = 0;
  std::string domain;
};

/**
 * Admits, queues and routes requests and determines the outcome of each. Holds no connection and
 * no clock: its actions depend only on its state, the events and the given time.
 *
 * Each attempt is sent once. If its answer does not arrive, the router asks the same agent for the
 * state of the attempt. A request is sent again only if the attempt is known not to have run or
 * the request is idempotent. A request that is not idempotent and has a key is first claimed at
 * further agents (see key_claims).
 */
class request_router {
 public:
  request_router(router_options options, std::unique_ptr<routing_policy> routing,
                 std::unique_ptr<admission_policy> admission);

  /** Handles the events in order, then the timeouts and queued requests that are due at `now`. */
  void Decide(std::span<const router_event> events, millis now,
              std::vector<router_action>& actions);

  /** Whether the router is draining and no request is open. */
  bool drained() const { return draining_ && open_requests_.empty(); }

  router_stats stats() const;
  const upstream_table& upstreams() const { return upstreams_; }

 private:
  enum class open_request_state { kQueued, kClaiming, kSent };

  struct open_request {
    uint64_t id = 0;
    caller_request request;
    millis arrived_at;
    millis deadline_at;
    open_request_state state = open_request_state::kQueued;
    int attempts = 0;
    std::string attempt_id;
    std::string agent;
    int64_t agent_incarnation = 0;
    millis next_resolve;
    bool asked_after_deadline = false;
    std::vector<std::string> failed_agents;  // agents where an attempt failed
  };

  void On(const caller_request& request);
  void On(const peer_up& event);
  void On(const lane_lost& event);
  void On(const peer_down& event);
  void On(const peer_said& event);
  void On(const document_changed& event);
  void On(const drain_wanted& event);

  void OnAnnounce(std::string_view agent, const announce& message);
  void OnCredit(std::string_view agent, const slot_credit& message);
  void OnAnswer(std::string_view agent, const attempt_answer& answer);
  void OnClaimAnswer(std::string_view agent, const claim_answer& answer);

  void Enqueue(open_request& item, bool retried);
  void DispatchQueues();
  bool DispatchNext(const std::string& service);
  void ClaimKey(open_request& item);
  void SendAttempt(open_request& item, upstream_state& agent);
  void SendResolve(open_request& item);
  void FailAttemptsAt(std::string_view agent, std::string_view reason);
  void RetryOrGiveUp(open_request& item, bool known_not_run, std::string_view reason);
  void CheckTimeouts();
  void HandleTimeout(open_request& item);
  void CheckDisconnectedAgents();
  void ReleaseAttempt(open_request& item);
  void FinishCompleted(open_request& item, const attempt_answer& answer);
  void Refuse(const caller_request& request, int status, error problem);
  void Finish(open_request& item, caller_answer answer);
  void FinishNotRun(open_request& item, std::string_view step, std::string_view detail);
  void FinishUnknown(open_request& item, std::string_view step, std::string_view detail);
  void Send(std::string_view peer, peer_message message);
  std::string RequestId(const open_request& item) const;

  const router_options options_;
  const std::unique_ptr<routing_policy> routing_;
  std::shared_ptr<const document> document_;
  upstream_table upstreams_;
  admission_control admission_;
  retry_budget budget_;
  std::map<std::string, fair_queue, std::less<>> queues_;  // by service
  demand_reporter demand_reporter_;
  key_claims claims_;
  std::unordered_map<uint64_t, open_request> open_requests_;
  std::unordered_map<std::string, uint64_t> by_attempt_;
  std::map<std::string, attempt_done, std::less<>> acknowledgements_;
  std::vector<router_action>* actions_ = nullptr;
  millis now_;
  uint64_t last_id_ = 0;
  bool draining_ = false;
  router_stats stats_;
};

}  // namespace eelgrass
