#include "daemons/node/batch_agent.h"

#include "daemons/node/batch_peers.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr size_t kRingCapacity = 2048;
constexpr millis kTick{50};
constexpr millis kMainTick{500};
constexpr millis kGaugeInterval{1000};

/** A hold call returns within its own wait time; this margin is added to its timeout. */
constexpr millis kHoldSlack{700};

}  // namespace

batch_agent::batch_agent(deployment place, const deployment_file& settings, const clock& time)
    : place_(std::move(place)), settings_(settings), clock_(time) {}

batch_agent::~batch_agent() { Stop(); }

result<void> batch_agent::Build() {
  codec_ = BOOST_OUTCOME_TRYX(codec_registry::Instance().Create("cbor"));
  const hub_options hub = MakeBatchHubOptions(place_, peer_role::kWorkerAgent, clock_);
  hub_ = BOOST_OUTCOME_TRYX(hub_registry::Instance().Create("asio", hub, *codec_, clock_));
  client_ = BOOST_OUTCOME_TRYX(client_registry::Instance().Create("curl", client_options{}));
  store_ = BOOST_OUTCOME_TRYX(row_store_registry::Instance().Create(
      "platform", row_store_options{place_.store_address}, *client_));
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
  store_port_ = std::make_unique<store_port<agent_event>>(*store_, *duty_);
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
  if (now < next_gauges_) return;
  next_gauges_ = now + kGaugeInterval;
  SetGauges(now);
}

void batch_agent::SetGauges(millis now) {
  const agent_statistics stats = core_->stats(now);
  counters_.Set("entries_connected", stats.connected_entries);
  counters_.Set("entry_addresses_dialled", stats.dialled_addresses);
  counters_.Set("planner_connected", stats.planner_connected ? 1 : 0);
  counters_.Set("planner_missing_ms", stats.planner_missing.count());
  counters_.Set("entry_readings_total", stats.entry_readings);
  counters_.Set("entry_readings_failed_total", stats.failed_readings);
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
  } else if (const auto* request = std::get_if<store_request>(&action)) {
    counters_.Count("store_calls_total");
    store_port_->Submit(*request);
  } else if (std::holds_alternative<reload_seeds>(action)) {
    reload_wanted_ = true;
  }
}

/** Passes on the seeds that the settings name now. Runs on the main thread, as it reads a file. */
void batch_agent::ReadSeeds() {
  const auto place = settings_.Load();
  const bool unreadable = !place;
  if (unreadable && !settings_unreadable_) {
    log_event("settings-unreadable", log_level::kWarning)
        .With("node", place_.node)
        .With("error", ToString(place.error()));
  }
  settings_unreadable_ = unreadable;
  if (!unreadable) duty_->Deliver(seeds_read{SeedAddresses(place.value())});
}

int batch_agent::Run(const process_signals& signals) {
  while (true) {
    const signal_request request = signals.Next(kMainTick);
    if (request == signal_request::kStop) break;
    const bool changed = request == signal_request::kReload;
    if (changed) log_event("reload-requested").With("node", place_.node);
    if (reload_wanted_.exchange(false) || changed) ReadSeeds();
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
