#include "daemons/node/upstream_agent.h"

#include "daemons/node/agent_dialler.h"
#include "daemons/node/common_settings.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr size_t kRingCapacity = 8192;
constexpr millis kTick{100};

}  // namespace

upstream_agent::upstream_agent(const settings& values, const clock& time)
    : settings_(values), clock_(time) {}

upstream_agent::~upstream_agent() { upstream_agent::Stop(); }

result<void> upstream_agent::Start() {
  const hub_options hub = MakeHubOptions(settings_, peer_role::kUpstreamAgent, clock_);
  codec_ = BOOST_OUTCOME_TRYX(codec_registry::Instance().Create("cbor"));
  hub_ = BOOST_OUTCOME_TRYX(hub_registry::Instance().Create("asio", hub, *codec_, clock_));
  client_options client;
  client.max_connections = static_cast<int>(settings_.number("connections"));
  client_ = BOOST_OUTCOME_TRYX(client_registry::Instance().Create("curl", client));
  upstream_options options;
  options.agent = hub.self.id;
  options.incarnation = hub.self.incarnation;
  options.service = settings_.text("service");
  options.slots = static_cast<int>(settings_.number("slots"));
  core_ = std::make_unique<upstream_core>(options);
  config_ = std::make_unique<agent_config>(settings_.list("entries"));
  duty_ = std::make_unique<duty<upstream_event>>(duty_options{"upstream", kRingCapacity, 64, kTick},
                                                 clock_, *this);
  links_ = std::make_unique<agent_links<upstream_event>>(*duty_);
  BOOST_OUTCOME_TRY(hub_->Start(*links_));
  duty_->Start();
  log_event("agent-started").With("id", options.agent).With("service", options.service);
  return Ok();
}

void upstream_agent::Handle(std::span<upstream_event> events, millis now) {
  for (const auto& event : events) {
    if (const auto* up = std::get_if<peer_up>(&event)) config_->On(*up);
    if (const auto* down = std::get_if<peer_down>(&event)) config_->On(*down);
    if (const auto* received = std::get_if<peer_said>(&event)) config_->On(*received, now);
  }
  config_->Tick(now);
  config_->TakeChanged();
  ApplyConfigActions(*config_, *hub_);
  core_->Decide(events, now, actions_);
  for (auto& action : actions_) {
    if (const auto* send = std::get_if<send_to_peer>(&action)) {
      hub_->Send(send->peer, send->message);
    } else {
      Call(std::move(std::get<call_upstream>(action)));
    }
  }
  actions_.clear();
  const upstream_stats stats = core_->stats();
  open_ = stats.running + stats.queued;
  drained_ = core_->drained();
}

void upstream_agent::Call(call_upstream call) {
  http_call http;
  http.method = call.request.method;
  http.url = settings_.text("upstream-url") + call.request.path;
  http.headers = std::move(call.request.headers);
  http.headers.push_back({"Eelgrass-Attempt", call.request.id});
  http.headers.push_back({"Eelgrass-Organisation", call.request.organisation});
  http.body = std::move(call.request.body);
  http.timeout = call.time_left;
  http.once = !call.request.idempotent;
  const millis begun = clock_.Now();
  client_->Start(std::move(http), [this, id = call.request.id, begun](result<http_response> reply) {
    OnUpstreamResponse(id, begun, std::move(reply));
  });
}

void upstream_agent::OnUpstreamResponse(const std::string& id, millis begun,
                                        result<http_response> reply) {
  upstream_done done;
  done.id = id;
  attempt_answer& answer = done.answer;
  answer.service_ms = std::max<int64_t>(1, (clock_.Now() - begun).count());
  if (reply) {
    answer.state = attempt_state::kFinished;
    answer.status = reply.value().status;
    answer.headers = std::move(reply.value().headers);
    answer.body = std::move(reply.value().body);
  } else if (reply.error().kind == error_kind::kUnknown) {
    answer.state = attempt_state::kUnknown;
    answer.reason = "the upstream did not answer";
  } else {
    answer.state = attempt_state::kNotRun;
    answer.reason = "upstream-unreachable";
  }
  duty_->Deliver(std::move(done));
}

void upstream_agent::BeginDrain() { duty_->Deliver(drain_wanted{}); }

void upstream_agent::Stop() {
  if (duty_) duty_->Stop();
  if (hub_) hub_->Stop();
  if (client_) client_->Stop();
}

}  // namespace eelgrass
