#include "daemons/node/batch_agent.h"

#include "daemons/node/batch_peers.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr size_t kRingCapacity = 2048;
constexpr millis kTick{50};
constexpr millis kMainTick{500};

/** A hold call returns within its own wait time; this margin is added to its timeout. */
constexpr millis kHoldSlack{700};

}  // namespace

batch_agent::batch_agent(deployment place, const clock& time)
    : place_(std::move(place)), clock_(time) {}

batch_agent::~batch_agent() { Stop(); }

result<void> batch_agent::Build() {
  codec_ = BOOST_OUTCOME_TRYX(codec_registry::Instance().Create("cbor"));
  const hub_options hub = MakeBatchHubOptions(place_, peer_role::kWorkerAgent, clock_);
  hub_ = BOOST_OUTCOME_TRYX(hub_registry::Instance().Create("asio", hub, *codec_, clock_));
  client_ = BOOST_OUTCOME_TRYX(client_registry::Instance().Create("curl", client_options{}));
  control_ = BOOST_OUTCOME_TRYX(worker_control_registry::Instance().Create("platform", *client_));
  front_options heartbeats;
  heartbeats.listen = place_.control_address;
  server_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", heartbeats));
  front_ = BOOST_OUTCOME_TRYX(beat_front_registry::Instance().Create("platform", *server_));
  front_options scraper;
  scraper.listen = MetricsAddress(place_);
  metrics_server_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", scraper));
  metrics_page_ = std::make_unique<status_page>(*metrics_server_, counters_);
  core_ = std::make_unique<agent_core>(place_.node, SeedAddresses(place_));
  duty_ = std::make_unique<duty<agent_event>>(duty_options{"agent", kRingCapacity, 64, kTick},
                                              clock_, *this);
  links_ = std::make_unique<agent_links<agent_event>>(*duty_);
  return Ok();
}

result<void> batch_agent::Start() {
  BOOST_OUTCOME_TRY(Build());
  BOOST_OUTCOME_TRY(hub_->Start(*links_));
  duty_->Start();
  BOOST_OUTCOME_TRY(metrics_page_->Start());
  BOOST_OUTCOME_TRY(front_->Start(*this));
  log_event("agent-started").With("node", place_.node).With("worker", place_.worker_address);
  return Ok();
}

bool batch_agent::OnBeat(worker_heartbeat heartbeat) { return duty_->Offer(std::move(heartbeat)); }

bool batch_agent::OnLeft(worker_departure departure) { return duty_->Offer(std::move(departure)); }

void batch_agent::Handle(std::span<agent_event> events, millis now) {
  core_->Decide(events, now, actions_);
  for (auto& action : actions_) Execute(action);
  actions_.clear();
}

void batch_agent::Execute(agent_action& action) {
  const auto deliver = [this](auto answer) { duty_->Deliver(std::move(answer)); };
  if (const auto* send = std::get_if<send_to_peer>(&action)) {
    hub_->Send(send->peer, send->message);
  } else if (const auto* dial = std::get_if<dial_peer>(&action)) {
    hub_->Dial(dial->address);
  } else if (const auto* undial = std::get_if<undial_peer>(&action)) {
    hub_->Undial(undial->address);
  } else if (const auto* hold = std::get_if<hold_call>(&action)) {
    counters_.Count("worker_calls_total{call=\"hold\"}");
    control_->Hold(*hold, hold->wait + kHoldSlack, deliver);
  } else if (const auto* start = std::get_if<start_call>(&action)) {
    counters_.Count("worker_calls_total{call=\"start\"}");
    control_->Start(*start, kCallTimeout, deliver);
  } else if (const auto* stop = std::get_if<stop_call>(&action)) {
    counters_.Count("worker_calls_total{call=\"stop\"}");
    control_->Stop(*stop, kCallTimeout, deliver);
  } else if (const auto* pace = std::get_if<pace_call>(&action)) {
    control_->Pace(*pace, kCallTimeout, deliver);
  }
}

int batch_agent::Run(const process_signals& signals) {
  while (true) {
    const signal_request request = signals.Next(kMainTick);
    if (request == signal_request::kStop) break;
    if (request == signal_request::kReload) log_event("reload-requested").With("node", place_.node);
  }
  Stop();
  log_event("agent-stopped").With("node", place_.node);
  return 0;
}

void batch_agent::Stop() {
  if (server_) server_->Stop();
  if (metrics_server_) metrics_server_->Stop();
  if (client_) client_->Stop();
  if (duty_) duty_->Stop();
  if (hub_) hub_->Stop();
}

}  // namespace eelgrass
