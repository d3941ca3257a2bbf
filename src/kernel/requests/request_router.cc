#include "kernel/requests/request_router.h"

#include <algorithm>

#include "kernel/base/http_status.h"

namespace eelgrass {
namespace {

constexpr millis kResolveInterval{700};
constexpr millis kResolveGrace{1000};  // after the deadline, for a last answer
constexpr millis kLostAgentPatience{1200};
constexpr millis kForgetAgent{600000};
constexpr millis kRetryPause{20};
constexpr millis kMaxDeadline{120000};
constexpr double kServiceMargin = 3;  // of the mean service time, left when an attempt starts

error Problem(error_kind kind, std::string_view step, std::string_view peer,
              std::string_view detail) {
  return {kind, std::string(step), std::string(peer), std::string(detail)};
}

bool HasToRunOnce(const caller_request& request) {
  return !request.idempotent && !request.key.empty();
}

/** The name of the request's key among all organisations' and services'. */
std::string FullKey(const caller_request& request) {
  return request.service + "\n" + request.organisation + "\n" + request.key;
}

}  // namespace

request_router::request_router(router_options options, std::unique_ptr<routing_policy> routing,
                               std::unique_ptr<admission_policy> admission)
    : options_(std::move(options)),
      routing_(std::move(routing)),
      document_(std::make_shared<document>()),
      gate_(std::move(admission), upstreams_),
      demand_(upstreams_, queues_),
      claims_(upstreams_) {}

void request_router::Decide(std::span<const router_event> events, millis now,
                            std::vector<router_action>& actions) {
  actions_ = &actions;
  now_ = now;
  for (const auto& event : events) {
    std::visit([this](const auto& e) { On(e); }, event);
  }
  CheckLostAgents();
  CheckTimes();
  RunQueues();
  for (auto& message : demand_.Due(now_)) actions.push_back(std::move(message));
  for (auto& [agent, done] : acknowledgements_) Send(agent, std::move(done));
  acknowledgements_.clear();
  actions_ = nullptr;
}

router_stats request_router::stats() const {
  router_stats now = stats_;
  for (const auto& [service, queue] : queues_) now.queued += queue.size();
  now.in_flight = static_cast<int>(flights_.size()) - now.queued;
  return now;
}

void request_router::On(const caller_request& request) {
  if (draining_) {
    Refuse(request, http_status::kServiceUnavailable,
           Problem(error_kind::kUnavailable, "admit", options_.entry, "the entry is leaving"));
    return;
  }
  const service_entry* service = document_->FindService(request.service);
  if (service == nullptr) {
    Refuse(request, http_status::kNotFound,
           Problem(error_kind::kNotFound, "find-service", "", "no service of this name"));
    return;
  }
  auto refusal = gate_.Check(request, *service, *document_, queues_[request.service]);
  if (refusal) {
    Refuse(request, refusal->status, std::move(refusal->problem));
    return;
  }
  flight item;
  item.id = ++last_id_;
  item.request = request;
  const millis left =
      request.deadline > millis(0) ? request.deadline : service->default_deadline_ms;
  item.arrived_at = now_;
  item.deadline_at = now_ + std::min(left, kMaxDeadline);
  ++stats_.fresh;
  budget_.AddFresh(request.organisation);
  gate_.Enter(request.organisation);
  auto& stored = flights_[item.id] = std::move(item);
  Enqueue(stored, false);
}

void request_router::On(const peer_up& event) {
  if (event.peer.role != peer_role::kUpstreamAgent) return;
  const upstream_view* known = upstreams_.Find(event.peer.id);
  if (known != nullptr && known->incarnation != event.peer.incarnation) {
    LoseAgent(event.peer.id, "the upstream's agent was replaced");
  }
  upstreams_.Up(event.peer);
}

void request_router::On(const lane_lost& event) {
  for (auto& [id, item] : flights_) {
    if (item.state == flight_state::kSent && item.agent == event.peer) SendResolve(item);
  }
}

void request_router::On(const peer_down& event) {
  upstream_view* agent = upstreams_.Find(event.peer);
  if (agent == nullptr || agent->incarnation != event.incarnation) return;
  agent->connected = false;
  agent->lost_at = now_;
}

void request_router::On(const peer_said& event) {
  if (const auto* message = std::get_if<attempt_answer>(&event.message)) {
    OnAnswer(event.peer, *message);
  } else if (const auto* credit = std::get_if<slot_credit>(&event.message)) {
    OnCredit(event.peer, *credit);
  } else if (const auto* offer = std::get_if<announce>(&event.message)) {
    OnAnnounce(event.peer, *offer);
  } else if (const auto* claimed = std::get_if<claim_answer>(&event.message)) {
    OnClaimAnswer(event.peer, *claimed);
  }
}

void request_router::On(const document_changed& event) { document_ = event.doc; }

void request_router::On(const drain_wanted&) { draining_ = true; }

void request_router::OnAnnounce(std::string_view agent, const announce& message) {
  upstream_view* view = upstreams_.Find(agent);
  if (view == nullptr) return;
  view->service = message.service;
  view->slots = message.slots;
  view->leaving = message.leaving;
}

void request_router::OnCredit(std::string_view agent, const slot_credit& message) {
  upstream_view* view = upstreams_.Find(agent);
  if (view != nullptr) view->credits = message.credits;
}

void request_router::OnAnswer(std::string_view agent, const attempt_answer& answer) {
  const auto known = by_attempt_.find(answer.id);
  if (known == by_attempt_.end()) {
    acknowledgements_[std::string(agent)].ids.push_back(answer.id);
    return;
  }
  flight& item = flights_.at(known->second);
  if (item.agent != agent) return;
  upstream_view* view = upstreams_.Find(agent);
  switch (answer.state) {
    case attempt_state::kRunning:
      item.next_resolve = now_ + kResolveInterval;
      return;
    case attempt_state::kFinished:
      if (view != nullptr) upstreams_.RecordSuccess(*view, static_cast<double>(answer.service_ms));
      if (view != nullptr && answer.status >= http_status::kFirstServerError) {
        upstreams_.RecordFailure(*view, now_);
      }
      Complete(item, answer);
      return;
    case attempt_state::kNotRun:
      if (view != nullptr && answer.reason == "upstream-unreachable") {
        upstreams_.RecordFailure(*view, now_);
      }
      RetryOrGiveUp(item, true, answer.reason);
      return;
    case attempt_state::kUnknown:
      if (view != nullptr) upstreams_.RecordFailure(*view, now_);
      RetryOrGiveUp(item, false, answer.reason);
      return;
  }
}

void request_router::Enqueue(flight& item, bool retried) {
  item.state = flight_state::kQueued;
  const auto& request = item.request;
  queues_[request.service].Push(request.organisation, WeightOf(*document_, request.organisation),
                                item.id, retried);
}

void request_router::RunQueues() {
  for (auto& [service, queue] : queues_) {
    while (queue.size() > 0 && StartNext(service)) {
    }
  }
}

bool request_router::StartNext(const std::string& service) {
  const auto candidates = upstreams_.Candidates(service, now_);
  int free = -claims_.Count(service);
  for (const auto& candidate : candidates) free += candidate.free_credits;
  if (free <= 0) return false;
  const auto chosen = routing_->Choose(candidates, options_.domain);
  if (!chosen) return false;
  flight& item = flights_.at(queues_[service].Pop());
  const double mean = upstreams_.MeanServiceMs(service);
  const auto needed = millis(static_cast<int64_t>(mean * kServiceMargin));
  if (item.deadline_at - now_ < needed) {
    FinishNotRun(item, "wait-for-slot", "too little time is left to run it");
    return true;
  }
  if (HasToRunOnce(item.request)) {
    StartKeyed(item);
    return true;
  }
  // An agent that has just refused the request is tried again only when there is no other.
  std::vector<route_candidate> others;
  for (const auto& candidate : candidates) {
    const bool refused =
        std::find(item.avoid.begin(), item.avoid.end(), candidate.agent) != item.avoid.end();
    if (!refused) others.push_back(candidate);
  }
  const auto other = item.avoid.empty() ? chosen : routing_->Choose(others, options_.domain);
  const auto& pick = item.avoid.empty() || !other ? candidates[*chosen] : others[*other];
  SendAttempt(item, *upstreams_.Find(pick.agent));
  return true;
}

void request_router::StartKeyed(flight& item) {
  const std::string key = FullKey(item.request);
  const claim_ring& ring = claims_.Open(item.id, item.request.service, key, now_);
  item.state = flight_state::kClaiming;
  upstream_view* home = upstreams_.Find(ring.home);
  if (ring.claim_holders.empty()) {
    SendAttempt(item, *home);
    return;
  }
  for (const auto& holder : ring.claim_holders) {
    Send(holder, claim{RequestName(item), key, ring.home, home->incarnation});
  }
}

void request_router::OnClaimAnswer(std::string_view agent, const claim_answer& answer) {
  const size_t slash = answer.id.rfind('/');
  const uint64_t id = std::strtoull(answer.id.c_str() + slash + 1, nullptr, 10);
  const auto found = flights_.find(id);
  if (found == flights_.end() || found->second.state != flight_state::kClaiming) return;
  flight& item = found->second;
  if (RequestName(item) != answer.id) return;
  const claim_ruling ruling = claims_.Take(id, agent, answer);
  switch (ruling.verdict) {
    case claim_verdict::kWait:
      return;
    case claim_verdict::kRun:
      return SendAttempt(item, *upstreams_.Find(claims_.Home(id)));
    case claim_verdict::kNotRun:
      return FinishNotRun(item, "claim-key", ruling.detail);
    case claim_verdict::kUnknown:
      return FinishUnknown(item, "claim-key", ruling.detail);
  }
}

void request_router::SendAttempt(flight& item, upstream_view& agent) {
  const auto& request = item.request;
  ++item.attempts;
  ++stats_.attempts;
  claims_.Close(item.id);
  item.state = flight_state::kSent;
  item.agent = agent.id;
  item.agent_incarnation = agent.incarnation;
  item.attempt_id = RequestName(item) + "/" + std::to_string(item.attempts);
  item.next_resolve = now_ + kResolveInterval;
  item.deadline_asked = false;
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
  if (HasToRunOnce(request)) message.key = FullKey(request);
  Send(agent.id, std::move(message));
}

void request_router::SendResolve(flight& item) {
  item.next_resolve = now_ + kResolveInterval;
  ++stats_.resolves;
  Send(item.agent, resolve{item.attempt_id});
}

void request_router::LoseAgent(std::string_view agent, std::string_view reason) {
  std::vector<uint64_t> affected;
  for (const auto& [id, item] : flights_) {
    if (item.state == flight_state::kSent && item.agent == agent) affected.push_back(id);
  }
  std::sort(affected.begin(), affected.end());
  for (const uint64_t id : affected) RetryOrGiveUp(flights_.at(id), false, reason);
}

void request_router::RetryOrGiveUp(flight& item, bool known_not_run, std::string_view reason) {
  const std::string peer = item.agent;
  Leave(item);
  if (reason == "claimed-elsewhere" || (!known_not_run && !item.request.idempotent)) {
    FinishUnknown(item, "run-attempt", std::string(reason) + " at " + peer);
    return;
  }
  item.avoid.push_back(peer);
  const bool in_time = now_ + kRetryPause < item.deadline_at;
  // An attempt that never reached its agent has cost the upstreams nothing.
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

void request_router::CheckLostAgents() {
  std::vector<std::string> lost;
  for (const auto& [id, agent] : upstreams_.all()) {
    const bool judged = !agent.connected && now_ - agent.lost_at >= kLostAgentPatience;
    if (judged && agent.in_flight > 0) lost.push_back(id);
  }
  for (const auto& agent : lost) {
    std::vector<uint64_t> affected;
    for (const auto& [id, item] : flights_) {
      const bool here = item.state == flight_state::kSent && item.agent == agent;
      if (here && item.request.idempotent) affected.push_back(id);
    }
    std::sort(affected.begin(), affected.end());
    for (const uint64_t id : affected) {
      RetryOrGiveUp(flights_.at(id), false, "the upstream's agent does not answer");
    }
  }
  upstreams_.Expire(now_, kForgetAgent);
}

void request_router::CheckTimes() {
  std::vector<uint64_t> due;
  for (const auto& [id, item] : flights_) {
    const bool claiming = claims_.Late(id, now_);
    const bool resolving = item.state == flight_state::kSent && now_ >= item.next_resolve;
    if (claiming || resolving || now_ >= item.deadline_at) due.push_back(id);
  }
  std::sort(due.begin(), due.end());
  for (const uint64_t id : due) CheckFlight(flights_.at(id));
}

void request_router::CheckFlight(flight& item) {
  switch (item.state) {
    case flight_state::kQueued:
      queues_[item.request.service].Remove(item.request.organisation, item.id);
      FinishNotRun(item, "wait-for-slot", "the deadline passed in the queue");
      return;
    case flight_state::kClaiming:
      FinishNotRun(item, "claim-key", "an agent did not answer the claim");
      return;
    case flight_state::kSent:
      if (now_ >= item.deadline_at + kResolveGrace) {
        const std::string peer = item.agent;
        Leave(item);
        FinishUnknown(item, "await-answer", "no answer before the deadline from " + peer);
      } else if (now_ >= item.next_resolve || !item.deadline_asked) {
        item.deadline_asked = now_ >= item.deadline_at;
        SendResolve(item);
      }
      return;
  }
}

void request_router::Leave(flight& item) {
  by_attempt_.erase(item.attempt_id);
  acknowledgements_[item.agent].ids.push_back(item.attempt_id);
  upstream_view* agent = upstreams_.Find(item.agent);
  const bool same = agent != nullptr && agent->incarnation == item.agent_incarnation;
  if (same && agent->in_flight > 0) --agent->in_flight;
}

void request_router::Complete(flight& item, const attempt_answer& answer) {
  Leave(item);
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

void request_router::Finish(flight& item, caller_answer answer) {
  answer.caller = item.request.caller;
  answer.organisation = item.request.organisation;
  answer.service = item.request.service;
  answer.latency = now_ - item.arrived_at;
  claims_.Close(item.id);
  gate_.Leave(item.request.organisation);
  const uint64_t id = item.id;
  actions_->push_back(std::move(answer));
  flights_.erase(id);
}

void request_router::FinishNotRun(flight& item, std::string_view step, std::string_view detail) {
  caller_answer reply;
  reply.outcome = request_outcome::kNotRun;
  reply.status = http_status::kServiceUnavailable;
  reply.problem = Problem(error_kind::kUnavailable, step, item.agent, detail);
  Finish(item, std::move(reply));
}

void request_router::FinishUnknown(flight& item, std::string_view step, std::string_view detail) {
  caller_answer reply;
  reply.outcome = request_outcome::kUnknown;
  reply.status = http_status::kGatewayTimeout;
  reply.problem = Problem(error_kind::kUnknown, step, item.agent, detail);
  Finish(item, std::move(reply));
}

void request_router::Send(std::string_view peer, peer_message message) {
  actions_->push_back(send_to_peer{std::string(peer), std::move(message)});
}

std::string request_router::RequestName(const flight& item) const {
  return options_.entry + "/" + std::to_string(options_.incarnation) + "/" +
         std::to_string(item.id);
}

}  // namespace eelgrass
