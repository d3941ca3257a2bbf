#include "tests/world/request_world.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kEntryTick{20};
constexpr millis kAgentTick{100};
constexpr millis kBeat{1000};
constexpr millis kUnreachableAnswer{2};
constexpr int kPercent = 100;
constexpr double kMillisPerSecond = 1000;

std::shared_ptr<document> MakeDocument() {
  auto doc = std::make_shared<document>();
  doc->version = 1;
  for (const char* name : {"secadero", "exporta", "tienda", "calidad"}) {
    organisation owner;
    owner.name = name;
    doc->organisations.push_back(owner);
  }
  service_entry service;
  service.name = "orders";
  service.default_deadline_ms = millis(5000);
  doc->services.push_back(service);
  return doc;
}

}  // namespace

request_world::request_world(request_world_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      network_(events_, options_.seed + 1),
      document_(MakeDocument()) {
  for (int i = 1; i <= options_.entries; ++i) StartEntry("e" + std::to_string(i));
  for (int i = 1; i <= options_.upstreams; ++i) StartAgent("u" + std::to_string(i));
  Run(millis(1000));
}

request_world::~request_world() = default;

void request_world::StartEntry(const std::string& id) {
  auto state = std::make_unique<entry_state>();
  const auto known = entries_.find(id);
  if (known != entries_.end()) state->generation = known->second->generation + 1;
  const uint64_t generation = state->generation;
  state->router = std::make_unique<request_router>(
      router_options{id, ++last_incarnation_, "d1"},
      std::move(routing_registry::Instance().Create(options_.routing).value()),
      std::move(admission_registry::Instance().Create(options_.admission).value()));
  state->inbox.emplace_back(document_changed{document_});
  entries_[id] = std::move(state);
  network_.Join({id, last_incarnation_, peer_role::kEntry, id, "d1", {}, {}},
                [this, id](link_event event) {
                  std::visit(
                      [&](auto& e) {
                        if constexpr (!std::is_same_v<std::decay_t<decltype(e)>, peer_refused>) {
                          entries_.at(id)->inbox.emplace_back(std::move(e));
                        }
                      },
                      event);
                  Wake(id);
                });
  TickEntry(id, generation);
  Beat(id, generation);
}

void request_world::StartAgent(const std::string& id) {
  auto state = std::make_unique<agent_state>();
  const auto known = agents_.find(id);
  if (known != agents_.end()) state->generation = known->second->generation + 1;
  const uint64_t generation = state->generation;
  state->core = std::make_unique<upstream_core>(
      upstream_options{id, ++last_incarnation_, "orders", options_.slots});
  agents_[id] = std::move(state);
  network_.Join({id, last_incarnation_, peer_role::kUpstreamAgent, id, "d1", {}, {}},
                [this, id](link_event event) {
                  std::visit(
                      [&](auto& e) {
                        using link = std::decay_t<decltype(e)>;
                        constexpr bool kSkipped =
                            std::is_same_v<link, lane_lost> || std::is_same_v<link, peer_refused>;
                        if constexpr (!kSkipped) {
                          agents_.at(id)->inbox.emplace_back(std::move(e));
                        }
                      },
                      event);
                  Wake(id);
                });
  TickAgent(id, generation);
}

void request_world::Beat(const std::string& id, uint64_t generation) {
  const auto& state = *entries_.at(id);
  if (state.generation != generation || !state.router) return;
  if (!network_.paused(id)) {
    entry_heartbeat beat;
    beat.sent_ms = events_.now().count();
    for (const auto& [agent, other] : agents_) network_.Send(id, agent, beat);
  }
  events_.After(kBeat, [this, id, generation] { Beat(id, generation); });
}

void request_world::TickEntry(const std::string& id, uint64_t generation) {
  const auto& state = *entries_.at(id);
  if (state.generation != generation || !state.router) return;
  if (!network_.paused(id)) RunEntry(id);
  events_.After(kEntryTick, [this, id, generation] { TickEntry(id, generation); });
}

void request_world::TickAgent(const std::string& id, uint64_t generation) {
  const auto& state = *agents_.at(id);
  if (state.generation != generation || !state.core) return;
  if (!network_.paused(id)) RunAgent(id);
  events_.After(kAgentTick, [this, id, generation] { TickAgent(id, generation); });
}

void request_world::Wake(const std::string& id) {
  events_.After(millis(0), [this, id] {
    if (network_.paused(id)) return;
    const auto entry = entries_.find(id);
    if (entry != entries_.end() && !entry->second->inbox.empty()) RunEntry(id);
    const auto agent = agents_.find(id);
    if (agent != agents_.end() && !agent->second->inbox.empty()) RunAgent(id);
  });
}

void request_world::RunEntry(const std::string& id) {
  entry_state& state = *entries_.at(id);
  if (!state.router) return;
  std::vector<router_event> inbox;
  inbox.swap(state.inbox);
  std::vector<router_action> actions;
  state.router->Decide(inbox, events_.now(), actions);
  for (auto& action : actions) {
    if (auto* send = std::get_if<send_to_peer>(&action)) {
      network_.Send(id, send->peer, std::move(send->message));
      continue;
    }
    const auto& answer = std::get<caller_answer>(action);
    world_call& call = calls_.at(answer.caller);
    call.done = true;
    call.answered = events_.now();
    call.told.outcome = OutcomeName(answer.outcome);
    call.told.answered_id = answer.body.data;
    call.reason = answer.problem.step + ": " + answer.problem.detail;
  }
}

void request_world::RunAgent(const std::string& id) {
  agent_state& state = *agents_.at(id);
  if (!state.core) return;
  std::vector<upstream_event> inbox;
  inbox.swap(state.inbox);
  std::vector<upstream_action> actions;
  state.core->Decide(inbox, events_.now(), actions);
  for (auto& action : actions) {
    if (auto* send = std::get_if<send_to_peer>(&action)) {
      network_.Send(id, send->peer, std::move(send->message));
    } else {
      CallUpstream(id, std::get<call_upstream>(action));
    }
  }
}

void request_world::CallUpstream(const std::string& agent, const call_upstream& call) {
  agent_state& state = *agents_.at(agent);
  const uint64_t generation = state.generation;
  const std::string id = call.request.id;
  const auto answer = [this, agent, generation, id](attempt_answer reply) {
    agent_state& own = *agents_.at(agent);
    if (own.generation != generation || !own.core) return;
    own.inbox.emplace_back(upstream_done{id, std::move(reply)});
    Wake(agent);
  };
  if (state.unreachable) {
    attempt_answer reply;
    reply.state = attempt_state::kNotRun;
    reply.reason = "upstream-unreachable";
    events_.After(kUnreachableAnswer, [answer, reply] { answer(reply); });
    return;
  }
  const auto spread = static_cast<uint64_t>((most_service_ - least_service_).count() + 1);
  const millis service =
      least_service_ + millis(static_cast<int64_t>(random_() % spread)) + state.extra;
  executions_.push_back({agent, call.request.body.data, id, false});
  most_at_once_[agent] = std::max(most_at_once_[agent], ++running_[agent]);
  busy_slot_ms_ += service.count();
  const bool loses = state.loses_answers;
  const std::string body = call.request.body.data;
  const millis left = call.time_left;
  events_.After(service, [this, agent, answer, service, loses, body, left] {
    --running_[agent];
    attempt_answer reply;
    reply.service_ms = service.count();
    const bool lost = loses || service > left;
    reply.state = lost ? attempt_state::kUnknown : attempt_state::kFinished;
    reply.reason = lost ? "the upstream did not answer" : "";
    reply.status = 200;
    reply.body.data = body;
    answer(reply);
  });
}

void request_world::KillEntry(const std::string& id) {
  entry_state& state = *entries_.at(id);
  ++state.generation;
  state.router.reset();
  state.inbox.clear();
  network_.Leave(id, true);
}

void request_world::KillAgent(const std::string& id, bool silently) {
  agent_state& state = *agents_.at(id);
  ++state.generation;
  state.core.reset();
  state.inbox.clear();
  network_.Leave(id, silently);
}

void request_world::Drain(const std::string& id) {
  const auto entry = entries_.find(id);
  if (entry != entries_.end()) entry->second->inbox.emplace_back(drain_wanted{});
  const auto agent = agents_.find(id);
  if (agent != agents_.end()) agent->second->inbox.emplace_back(drain_wanted{});
  Wake(id);
}

bool request_world::Drained(const std::string& id) const {
  const auto entry = entries_.find(id);
  if (entry != entries_.end()) return entry->second->router->drained();
  return agents_.at(id)->core->drained();
}

void request_world::SetUpstream(const std::string& agent, bool unreachable, bool loses_answers,
                                millis extra) {
  agent_state& state = *agents_.at(agent);
  state.unreachable = unreachable;
  state.loses_answers = loses_answers;
  state.extra = extra;
}

void request_world::SetServiceTime(millis least, millis most) {
  least_service_ = least;
  most_service_ = most;
}

caller_request request_world::MakeRequest(bool idempotent, const std::string& key) {
  const char* owners[] = {"secadero", "exporta", "tienda", "calidad"};
  caller_request request;
  request.organisation = owners[calls_.size() % std::size(owners)];
  request.service = "orders";
  request.method = idempotent ? "GET" : "POST";
  request.path = "/work";
  request.idempotent = idempotent;
  request.key = key;
  request.deadline = deadline_;
  request.body.data = key.empty() ? "r" + std::to_string(calls_.size()) : key;
  return request;
}

size_t request_world::Call(const std::string& entry, caller_request request) {
  world_call call;
  call.told.request = request.body.data;
  call.told.idempotent = request.idempotent;
  call.organisation = request.organisation;
  call.sent = events_.now();
  request.caller = calls_.size();
  calls_.push_back(std::move(call));
  entry_state& state = *entries_.at(entry);
  if (state.router) state.inbox.emplace_back(std::move(request));
  Wake(entry);
  return calls_.size() - 1;
}

void request_world::Load(double rate, millis time, const std::vector<int>& weights,
                         int idempotent_percent, int keyed_percent) {
  std::vector<std::string> turns;
  for (size_t i = 0; i < weights.size(); ++i) {
    for (int w = 0; w < weights[i]; ++w) turns.push_back("e" + std::to_string(i + 1));
  }
  std::exponential_distribution<double> gap(rate / kMillisPerSecond);
  double at = 0;
  while ((at += gap(random_)) < static_cast<double>(time.count())) {
    const std::string entry = turns[random_() % turns.size()];
    const bool idempotent = static_cast<int>(random_() % kPercent) < idempotent_percent;
    const bool keyed = !idempotent && static_cast<int>(random_() % kPercent) < keyed_percent;
    events_.After(millis(static_cast<int64_t>(at)), [this, entry, idempotent, keyed] {
      const std::string key = keyed ? "k" + std::to_string(calls_.size()) : "";
      Call(entry, MakeRequest(idempotent, key));
    });
  }
}

request_findings request_world::Findings() const {
  std::vector<told_outcome> told;
  for (const auto& call : calls_) {
    if (call.done) told.push_back(call.told);
  }
  return CheckRequests(told, executions_, most_at_once_, options_.slots);
}

int request_world::CountOutcome(std::string_view outcome) const {
  return static_cast<int>(std::count_if(calls_.begin(), calls_.end(), [&](const auto& call) {
    return call.done && call.told.outcome == outcome;
  }));
}

int request_world::Executions(const std::string& request) const {
  return static_cast<int>(std::count_if(executions_.begin(), executions_.end(),
                                        [&](const auto& item) { return item.request == request; }));
}

}  // namespace eelgrass
