#include "kernel/requests/request_router.h"

#include <algorithm>

#include "kernel/base/http_status.h"

namespace eelgrass {
namespace {

constexpr millis kResolveInterval{700};
constexpr millis kAnswerGracePeriod{1000};  // after the deadline, for a late answer
constexpr millis kDisconnectTimeout{1200};
constexpr millis kAgentRetention{600000};
constexpr millis kMinTimeForRetry{20};
constexpr millis kMaxDeadline{120000};
// A request is dispatched only with at least this multiple of the mean service time left.
constexpr double kServiceTimeFactor = 3;

error Problem(error_kind kind, std::string_view step, std::string_view peer,
              std::string_view detail) {
  return {kind, std::string(step), std::string(peer), std::string(detail)};
}

bool NeedsKeyClaim(const caller_request& request) {
  return !request.idempotent && !request.key.empty();
}

/** The request's key, made unique across services and organisations. */
std::string FullKey(const caller_request& request) {
  return request.service + "\n" + request.organisation + "\n" + request.key;
}

}  // namespace

request_router::request_router(router_options options, std::unique_ptr<routing_policy> routing,
                               std::unique_ptr<admission_policy> admission)
    : options_(std::move(options)),
      routing_(std::move(routing)),
      document_(std::make_shared<document>()),
      admission_(std::move(admission), upstreams_),
      demand_reporter_(upstreams_, queues_),
      claims_(upstreams_) {}

void request_router::Decide(std::span<const router_event> events, millis now,
                            std::vector<router_action>& actions) {
  actions_ = &actions;
  now_ = now;
  for (const auto& event : events) {
    std::visit([this](const auto& e) { On(e); }, event);
  }
  CheckDisconnectedAgents();
  CheckTimeouts();
  DispatchQueues();
  for (auto& message : demand_reporter_.DueMessages(now_)) actions.push_back(std::move(message));
  for (auto& [agent, done] : acknowledgements_) Send(agent, std::move(done));
  acknowledgements_.clear();
  actions_ = nullptr;
}

router_stats request_router::stats() const {
  router_stats now = stats_;
  for (const auto& [service, queue] : queues_) now.queued += queue.size();
  now.in_flight = static_cast<int>(open_requests_.size()) - now.queued;
  return now;
}

void request_router::On(const caller_request& request) {
  if (draining_) {
    Refuse(request, http_status::kServiceUnavailable,
           Problem(error_kind::kUnavailable, "admit", options_.entry, "the entry is draining"));
    return;
  }
  const service_entry* service = document_->FindService(request.service);
  if (service == nullptr) {
    Refuse(request, http_status::kNotFound,
           Problem(error_kind::kNotFound, "find-service", "", "no service of this name"));
    return;
  }
  auto refusal = admission_.Check(request, *service, *document_, queues_[request.service]);
  if (refusal) {
    Refuse(request, refusal->status, std::move(refusal->problem));
    return;
  }
  open_request item;
  item.id = ++last_id_;
  item.request = request;
  const millis left =
      request.deadline > millis(0) ? request.deadline : service->default_deadline_ms;
  item.arrived_at = now_;
  item.deadline_at = now_ + std::min(left, kMaxDeadline);
  ++stats_.admitted;
  budget_.CountRequest(request.organisation);
  admission_.CountOpened(request.organisation);
  auto& stored = open_requests_[item.id] = std::move(item);
  Enqueue(stored, false);
}

void request_router::On(const peer_up& event) {
  if (event.peer.role != peer_role::kUpstreamAgent) return;
  const upstream_state* known = upstreams_.Find(event.peer.id);
  if (known != nullptr && known->incarnation != event.peer.incarnation) {
    FailAttemptsAt(event.peer.id, "the upstream's agent was replaced");
  }
  upstreams_.AddConnected(event.peer);
}

void request_router::On(const lane_lost& event) {
  for (auto& [id, item] : open_requests_) {
    if (item.state == open_request_state::kSent && item.agent == event.peer) SendResolve(item);
  }
}

void request_router::On(const peer_down& event) {
  upstream_state* agent = upstreams_.Find(event.peer);
  if (agent == nullptr || agent->incarnation != event.incarnation) return;
  agent->connected = false;
  agent->disconnected_at = now_;
}

void request_router::On(const peer_said& event) {
  if (const auto* message = std::get_if<attempt_answer>(&event.message)) {
    OnAnswer(event.peer, *message);
  } else if (const auto* credit = std::get_if<slot_credit>(&event.message)) {
    OnCredit(event.peer, *credit);
  } else if (const auto* announcement = std::get_if<announce>(&event.message)) {
    OnAnnounce(event.peer, *announcement);
  } else if (const auto* claimed = std::get_if<claim_answer>(&event.message)) {
    OnClaimAnswer(event.peer, *claimed);
  }
}

void request_router::On(const document_changed& event) { document_ = event.doc; }

void request_router::On(const drain_wanted&) { draining_ = true; }

void request_router::OnAnnounce(std::string_view agent, const announce& message) {
  upstream_state* peer = upstreams_.Find(agent);
  if (peer == nullptr) return;
  peer->service = message.service;
  peer->slots = message.slots;
  peer->leaving = message.leaving;
}

void request_router::OnCredit(std::string_view agent, const slot_credit& message) {
  upstream_state* peer = upstreams_.Find(agent);
  if (peer != nullptr) peer->credits = message.credits;
}

void request_router::OnAnswer(std::string_view agent, const attempt_answer& answer) {
  const auto known = by_attempt_.find(answer.id);
  if (known == by_attempt_.end()) {
    acknowledgements_[std::string(agent)].ids.push_back(answer.id);
    return;
  }
  open_request& item = open_requests_.at(known->second);
  if (item.agent != agent) return;
  upstream_state* peer = upstreams_.Find(agent);
  switch (answer.state) {
    case attempt_state::kRunning:
      item.next_resolve = now_ + kResolveInterval;
      return;
    case attempt_state::kFinished:
      if (peer != nullptr) upstreams_.RecordSuccess(*peer, static_cast<double>(answer.service_ms));
      if (peer != nullptr && answer.status >= http_status::kFirstServerError) {
        upstreams_.RecordFailure(*peer, now_);
      }
      FinishCompleted(item, answer);
      return;
    case attempt_state::kNotRun:
      if (peer != nullptr && answer.reason == "upstream-unreachable") {
        upstreams_.RecordFailure(*peer, now_);
      }
      RetryOrGiveUp(item, true, answer.reason);
      return;
    case attempt_state::kUnknown:
      if (peer != nullptr) upstreams_.RecordFailure(*peer, now_);
      RetryOrGiveUp(item, false, answer.reason);
      return;
  }
}

void request_router::Enqueue(open_request& item, bool retried) {
  item.state = open_request_state::kQueued;
  const auto& request = item.request;
  queues_[request.service].Push(request.organisation, WeightOf(*document_, request.organisation),
                                item.id, retried);
}

void request_router::DispatchQueues() {
  for (auto& [service, queue] : queues_) {
    while (queue.size() > 0 && DispatchNext(service)) {
    }
  }
}

bool request_router::DispatchNext(const std::string& service) {
  const auto candidates = upstreams_.Candidates(service, now_);
  int free = -claims_.CountPending(service);
  for (const auto& candidate : candidates) free += candidate.free_credits;
  if (free <= 0) return false;
  const auto chosen = routing_->Choose(candidates, options_.domain);
  if (!chosen) return false;
  open_request& item = open_requests_.at(queues_[service].Pop());
  const double mean = upstreams_.MeanServiceMs(service);
  const auto needed = millis(static_cast<int64_t>(mean * kServiceTimeFactor));
  if (item.deadline_at - now_ < needed) {
    FinishNotRun(item, "wait-for-slot", "too little time is left to run it");
    return true;
  }
  if (NeedsKeyClaim(item.request)) {
    ClaimKey(item);
    return true;
  }
  // An agent where an attempt failed is chosen again only if there is no other candidate.
  std::vector<route_candidate> others;
  for (const auto& candidate : candidates) {
    const bool refused = std::find(item.failed_agents.begin(), item.failed_agents.end(),
                                   candidate.agent) != item.failed_agents.end();
    if (!refused) others.push_back(candidate);
  }
  const auto other =
      item.failed_agents.empty() ? chosen : routing_->Choose(others, options_.domain);
  const auto& pick = item.failed_agents.empty() || !other ? candidates[*chosen] : others[*other];
  SendAttempt(item, *upstreams_.Find(pick.agent));
  return true;
}

void request_router::ClaimKey(open_request& item) {
  const std::string key = FullKey(item.request);
  const key_placement& placement = claims_.Add(item.id, item.request.service, key, now_);
  item.state = open_request_state::kClaiming;
  upstream_state* home = upstreams_.Find(placement.home);
  if (placement.claim_holders.empty()) {
    SendAttempt(item, *home);
    return;
  }
  for (const auto& holder : placement.claim_holders) {
    Send(holder, claim{RequestId(item), key, placement.home, home->incarnation});
  }
}

void request_router::OnClaimAnswer(std::string_view agent, const claim_answer& answer) {
  const size_t slash = answer.id.rfind('/');
  const uint64_t id = std::strtoull(answer.id.c_str() + slash + 1, nullptr, 10);
  const auto found = open_requests_.find(id);
  if (found == open_requests_.end() || found->second.state != open_request_state::kClaiming) return;
  open_request& item = found->second;
  if (RequestId(item) != answer.id) return;
  const claim_result outcome = claims_.HandleAnswer(id, agent, answer);
  switch (outcome.decision) {
    case claim_decision::kWait:
      return;
    case claim_decision::kRun:
      return SendAttempt(item, *upstreams_.Find(claims_.Home(id)));
    case claim_decision::kNotRun:
      return FinishNotRun(item, "claim-key", outcome.detail);
    case claim_decision::kUnknown:
      return FinishUnknown(item, "claim-key", outcome.detail);
  }
}

void request_router::SendAttempt(open_request& item, upstream_state& agent) {
  const auto& request = item.request;
  ++item.attempts;
  ++stats_.attempts;
  claims_.Remove(item.id);
  item.state = open_request_state::kSent;
  item.agent = agent.id;
  item.agent_incarnation = agent.incarnation;
  item.attempt_id = RequestId(item) + "/" + std::to_string(item.attempts);
  item.next_resolve = now_ + kResolveInterval;
  item.asked_after_deadline = false;
  ++agent.in_flight;
  by_attempt_[item.attempt_id] = item.id;
  attempt message;
  message.id = item.attempt_id;
  message.organisation = request.organisation;
  message.method = request.method;
  message.path = request.path;
  message.headers = request.headers;
  message.body = request.body;
  message.sent_ms = now_.count();
  message.deadline_ms = (item.deadline_at - now_).count();
  message.idempotent = request.idempotent;
  if (NeedsKeyClaim(request)) message.key = FullKey(request);
  Send(agent.id, std::move(message));
}

void request_router::SendResolve(open_request& item) {
  item.next_resolve = now_ + kResolveInterval;
  ++stats_.resolves;
  Send(item.agent, resolve{item.attempt_id});
}

void request_router::FailAttemptsAt(std::string_view agent, std::string_view reason) {
  std::vector<uint64_t> affected;
  for (const auto& [id, item] : open_requests_) {
    if (item.state == open_request_state::kSent && item.agent == agent) affected.push_back(id);
  }
  std::sort(affected.begin(), affected.end());
  for (const uint64_t id : affected) RetryOrGiveUp(open_requests_.at(id), false, reason);
}

void request_router::RetryOrGiveUp(open_request& item, bool known_not_run,
                                   std::string_view reason) {
  const std::string peer = item.agent;
  ReleaseAttempt(item);
  if (reason == "claimed-elsewhere" || (!known_not_run && !item.request.idempotent)) {
    FinishUnknown(item, "run-attempt", std::string(reason) + " at " + peer);
    return;
  }
  item.failed_agents.push_back(peer);
  const bool in_time = now_ + kMinTimeForRetry < item.deadline_at;
  // These attempts caused no work at the upstream, so a retry is not charged to the budget.
  const bool free = reason == "not-received" || reason == "leaving";
  if (!in_time || !(free || budget_.TakeRetry(item.request.organisation))) {
    if (known_not_run) {
      FinishNotRun(item, "run-attempt", std::string(reason) + " at " + peer);
    } else {
      FinishUnknown(item, "run-attempt", std::string(reason) + " at " + peer);
    }
    return;
  }
  ++stats_.retries;
  Enqueue(item, true);
}

void request_router::CheckDisconnectedAgents() {
  std::vector<std::string> disconnected;
  for (const auto& [id, agent] : upstreams_.all()) {
    const bool timed_out = !agent.connected && now_ - agent.disconnected_at >= kDisconnectTimeout;
    if (timed_out && agent.in_flight > 0) disconnected.push_back(id);
  }
  for (const auto& agent : disconnected) {
    std::vector<uint64_t> affected;
    for (const auto& [id, item] : open_requests_) {
      const bool here = item.state == open_request_state::kSent && item.agent == agent;
      if (here && item.request.idempotent) affected.push_back(id);
    }
    std::sort(affected.begin(), affected.end());
    for (const uint64_t id : affected) {
      RetryOrGiveUp(open_requests_.at(id), false, "the upstream's agent does not answer");
    }
  }
  upstreams_.Expire(now_, kAgentRetention);
}

void request_router::CheckTimeouts() {
  std::vector<uint64_t> due;
  for (const auto& [id, item] : open_requests_) {
    const bool claiming = claims_.TimedOut(id, now_);
    const bool resolving = item.state == open_request_state::kSent && now_ >= item.next_resolve;
    if (claiming || resolving || now_ >= item.deadline_at) due.push_back(id);
  }
  std::sort(due.begin(), due.end());
  for (const uint64_t id : due) HandleTimeout(open_requests_.at(id));
}

void request_router::HandleTimeout(open_request& item) {
  switch (item.state) {
    case open_request_state::kQueued:
      queues_[item.request.service].Remove(item.request.organisation, item.id);
      FinishNotRun(item, "wait-for-slot", "the deadline passed in the queue");
      return;
    case open_request_state::kClaiming:
      FinishNotRun(item, "claim-key", "an agent did not answer the claim of the key in time");
      return;
    case open_request_state::kSent:
      if (now_ >= item.deadline_at + kAnswerGracePeriod) {
        const std::string peer = item.agent;
        ReleaseAttempt(item);
        FinishUnknown(item, "await-answer", "no answer before the deadline from " + peer);
      } else if (now_ >= item.next_resolve || !item.asked_after_deadline) {
        item.asked_after_deadline = now_ >= item.deadline_at;
        SendResolve(item);
      }
      return;
  }
}

void request_router::ReleaseAttempt(open_request& item) {
  by_attempt_.erase(item.attempt_id);
  acknowledgements_[item.agent].ids.push_back(item.attempt_id);
  upstream_state* agent = upstreams_.Find(item.agent);
  const bool same = agent != nullptr && agent->incarnation == item.agent_incarnation;
  if (same && agent->in_flight > 0) --agent->in_flight;
}

void request_router::FinishCompleted(open_request& item, const attempt_answer& answer) {
  ReleaseAttempt(item);
  caller_answer reply;
  reply.outcome = request_outcome::kCompleted;
  reply.status = answer.status;
  reply.headers = answer.headers;
  reply.body = answer.body;
  Finish(item, std::move(reply));
}

void request_router::Refuse(const caller_request& request, int status, error problem) {
  ++stats_.refused;
  caller_answer reply;
  reply.caller = request.caller;
  reply.outcome = request_outcome::kNotRun;
  reply.status = status;
  reply.problem = std::move(problem);
  reply.organisation = request.organisation;
  reply.service = request.service;
  actions_->push_back(std::move(reply));
}

void request_router::Finish(open_request& item, caller_answer answer) {
  answer.caller = item.request.caller;
  answer.organisation = item.request.organisation;
  answer.service = item.request.service;
  answer.latency = now_ - item.arrived_at;
  claims_.Remove(item.id);
  admission_.CountClosed(item.request.organisation);
  const uint64_t id = item.id;
  actions_->push_back(std::move(answer));
  open_requests_.erase(id);
}

void request_router::FinishNotRun(open_request& item, std::string_view step,
                                  std::string_view detail) {
  caller_answer reply;
  reply.outcome = request_outcome::kNotRun;
  reply.status = http_status::kServiceUnavailable;
  reply.problem = Problem(error_kind::kUnavailable, step, item.agent, detail);
  Finish(item, std::move(reply));
}

void request_router::FinishUnknown(open_request& item, std::string_view step,
                                   std::string_view detail) {
  caller_answer reply;
  reply.outcome = request_outcome::kUnknown;
  reply.status = http_status::kGatewayTimeout;
  reply.problem = Problem(error_kind::kUnknown, step, item.agent, detail);
  Finish(item, std::move(reply));
}

void request_router::Send(std::string_view peer, peer_message message) {
  actions_->push_back(send_to_peer{std::string(peer), std::move(message)});
}

std::string request_router::RequestId(const open_request& item) const {
  return options_.entry + "/" + std::to_string(options_.incarnation) + "/" +
         std::to_string(item.id);
}

}  // namespace eelgrass
