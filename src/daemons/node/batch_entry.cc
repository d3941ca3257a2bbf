#include "daemons/node/batch_entry.h"

#include <algorithm>

#include "daemons/node/batch_peers.h"
#include "kernel/base/digest.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr size_t kGatewayRingCapacity = 4096;
constexpr size_t kPlannerRingCapacity = 8192;
constexpr millis kGatewayTick{50};
constexpr millis kPlannerTick{50};
constexpr millis kMainTick{200};
constexpr int kNonceBytes = 8;
constexpr millis kGaugeInterval{1000};

/** Larger bodies close the connection. The limit that the configuration sets is lower. */
constexpr int64_t kMaxBodyBytes = 1 << 20;

/** The balancer redirects connections after two failed checks, one second apart. */
constexpr millis kBalancerReactionTime{2500};

/** Part of the platform's grace period for stopping that is not spent on draining. */
constexpr millis kStopReserve{1000};

/**
 * Lease granted for a report. It covers the loss of the agent's next two reports and a planner
 * takeover. A longer lease delays the restart of the tasks of a disconnected worker.
 */
constexpr millis kGrant{4000};

/** Upper limit of a grant, in percent of the platform's bound on leases. */
constexpr int64_t kGrantPercent = 75;
constexpr int64_t kPercent = 100;

}  // namespace

gateway_duty::gateway_duty(gateway_core& core, peer_hub& hub, job_front& front, status_page& status,
                           metrics& counters)
    : core_(core), hub_(hub), front_(front), status_(status), counters_(counters) {}

void gateway_duty::Connect(store_port<gateway_event>& store, event_sink<planner_event>& planner) {
  store_ = &store;
  planner_ = &planner;
}

void gateway_duty::Handle(std::span<gateway_event> events, millis now) {
  core_.Decide(events, now, actions_);
  for (auto& action : actions_) Execute(action);
  actions_.clear();
  open_calls_ = core_.open_calls();
  if (now < next_gauges_) return;
  next_gauges_ = now + kGaugeInterval;
  SetGauges(now);
}

void gateway_duty::SetGauges(millis now) {
  const gateway_statistics stats = core_.stats(now);
  counters_.Set("config_revision", stats.config_revision);
  counters_.Set("config_version", stats.config_version);
  counters_.Set("config_age_ms", stats.config_age.count());
  counters_.Set("operator_calls_failed_total", stats.failed_operator_calls);
  counters_.Set("entries_listed", stats.listed_entries);
  counters_.Set("entries_connected", stats.connected_entries);
  const job_admission& admission = core_.admission();
  counters_.Set("jobs_rejected_total", admission.rejected());
  counters_.Set("load_forecasts_refused_total", admission.refused_forecasts());
  counters_.Set("load_forecast_age_ms", admission.Age(now).value_or(millis(-1)).count());
  for (auto& [name, waits] : forecast_waits_) waits = {0, 0};  // if no forecast applies any more
  for (const auto& queue : admission.queues(now)) {
    forecast_waits_[queue.queue] = {queue.wait_ms, queue.wide_wait_ms};
  }
  for (const auto& [name, waits] : forecast_waits_) {
    const std::string label = "{queue=\"" + name + "\",width=\"";
    counters_.Set("load_forecast_wait_ms" + label + "typical\"}", waits.first);
    counters_.Set("load_forecast_wait_ms" + label + "large\"}", waits.second);
  }
}

void gateway_duty::Execute(gateway_action& action) {
  if (const auto* reply = std::get_if<caller_reply>(&action)) {
    counters_.Count("calls_total{answer=\"" + std::string(CallAnswerName(reply->answer)) + "\"}");
    counters_.Record("call_ms", static_cast<double>(reply->took.count()));
    front_.Reply(*reply);
  } else if (const auto* request = std::get_if<store_request>(&action)) {
    counters_.Count("store_calls_total{duty=\"gateway\"}");
    store_->Submit(*request);
  } else if (const auto* send = std::get_if<send_to_peer>(&action)) {
    hub_.Send(send->peer, send->message);
  } else if (auto* outgoing = std::get_if<own_planner_request>(&action)) {
    // If the ring is full, the core repeats inquiries, and jobs arrive through the store's feed.
    std::visit(
        [this](auto& message) { planner_->Offer(local_gateway_message{std::move(message)}); },
        outgoing->message);
  } else if (auto* update = std::get_if<operator_update>(&action)) {
    planner_->Deliver(operator_state_update{std::move(update->state), update->confirmed});
  } else if (const auto* ready = std::get_if<readiness_change>(&action)) {
    status_.SetReady(ready->ready);
  } else if (const auto* dial = std::get_if<dial_peer>(&action)) {
    hub_.Dial(dial->address);
  } else if (const auto* undial = std::get_if<undial_peer>(&action)) {
    hub_.Undial(undial->address);
  }
}

planner_duty::planner_duty(planner_core& core, peer_hub& hub, const clock& time, metrics& counters)
    : core_(core), hub_(hub), clock_(time), counters_(counters) {}

void planner_duty::Connect(store_port<planner_event>& store, event_sink<gateway_event>& gateway,
                           advice_service& advice, vm_directory& directory,
                           event_sink<planner_event>& self) {
  store_ = &store;
  gateway_ = &gateway;
  advice_ = &advice;
  directory_ = &directory;
  self_ = &self;
}

void planner_duty::Handle(std::span<planner_event> events, millis now) {
  core_.Decide(events, now, clock_.WallNow(), actions_);
  for (auto& action : actions_) Execute(action);
  actions_.clear();
  handed_over_ = core_.handed_over();
  if (now < next_gauges_) return;
  next_gauges_ = now + kGaugeInterval;
  const planner_statistics stats = core_.stats(now);
  counters_.Set("planning", stats.planning ? 1 : 0);
  counters_.Set("open_jobs", stats.open_jobs);
  counters_.Set("waiting_jobs", stats.waiting_jobs);
  counters_.Set("workers", stats.workers);
  counters_.Set("runs", stats.runs);
  counters_.Set("runs_given_up_total", stats.runs_given_up);
  counters_.Set("open_starts", stats.open_starts);
  counters_.Set("stalled_units_moved_total", stats.stalled_units_moved);
  counters_.Set("worker_quarantines_total", stats.worker_quarantines);
  counters_.Set("quarantined_workers", stats.quarantined_workers);
  counters_.Set("known_speeds", stats.known_speeds);
  counters_.Set("greatest_slowdown_percent", stats.greatest_slowdown_percent);
  counters_.Set("speed_rows_ignored_total", stats.ignored_speed_rows);
  counters_.Set("organisations_above_share", stats.crowding);
  counters_.Set("steps_waiting_for_tickets", stats.tickets.waiting);
  counters_.Set("longest_ticket_wait_ms", stats.tickets.longest_wait.count());
  counters_.Set("steps_without_attainable_tickets", stats.tickets.unattainable);
  counters_.Set("advice_calls_failed_total", stats.tickets.failed_calls);
  counters_.Set("term", stats.term);
}

void planner_duty::Execute(planner_action& action) {
  if (const auto* request = std::get_if<store_request>(&action)) {
    counters_.Count("store_calls_total{duty=\"planner\"}");
    store_->Submit(*request);
  } else if (const auto* send = std::get_if<send_to_peer>(&action)) {
    hub_.Send(send->peer, send->message);
  } else if (auto* outgoing = std::get_if<send_to_gateway>(&action)) {
    // If the ring is full, the message is dropped and the gateway repeats its inquiry.
    gateway_->Offer(own_planner_reply{std::move(outgoing->message)});
  } else if (const auto* advice = std::get_if<advice_request>(&action)) {
    counters_.Count("advice_calls_total");
    advice_->Ask(*advice, [this](advice_reply reply) { self_->Deliver(std::move(reply)); });
  } else if (const auto* listing = std::get_if<vm_listing_request>(&action)) {
    counters_.Count("vm_listings_total");
    directory_->List(*listing, [this](vm_listing answer) { self_->Deliver(std::move(answer)); });
  }
}

batch_entry::batch_entry(deployment place, const clock& time)
    : place_(std::move(place)), clock_(time) {}

batch_entry::~batch_entry() { Stop(); }

result<void> batch_entry::Build() {
  codec_ = BOOST_OUTCOME_TRYX(codec_registry::Instance().Create("cbor"));
  const hub_options hub = MakeBatchHubOptions(place_, peer_role::kEntry, clock_);
  hub_ = BOOST_OUTCOME_TRYX(hub_registry::Instance().Create("asio", hub, *codec_, clock_));
  client_ = BOOST_OUTCOME_TRYX(client_registry::Instance().Create("curl", client_options{}));
  store_ = BOOST_OUTCOME_TRYX(row_store_registry::Instance().Create(
      "platform", row_store_options{place_.store_address}, *client_));
  advice_ = BOOST_OUTCOME_TRYX(advice_registry::Instance().Create(
      "platform", advice_options{place_.advice_address}, *client_));
  directory_ = BOOST_OUTCOME_TRYX(vm_directory_registry::Instance().Create(
      "platform", vm_directory_options{place_.directory_address}, *client_));
  front_options callers;
  callers.listen = place_.front_address;
  callers.max_body = kMaxBodyBytes;
  front_server_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", callers));
  front_options balancer;
  balancer.listen = place_.ready_address;
  ready_server_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", balancer));
  front_options scraper;
  scraper.listen = MetricsAddress(place_);
  metrics_server_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", scraper));
  metrics_page_ = std::make_unique<status_page>(*metrics_server_, counters_);
  front_ = BOOST_OUTCOME_TRYX(job_front_registry::Instance().Create("platform", *front_server_));
  source_ = BOOST_OUTCOME_TRYX(operator_source_registry::Instance().Create("platform"));
  records_ = BOOST_OUTCOME_TRYX(record_codec_registry::Instance().Create("json"));
  order_ = BOOST_OUTCOME_TRYX(unit_order_registry::Instance().Create("fair_deadline"));
  status_ = std::make_unique<status_page>(*ready_server_, counters_);
  const size_t row_bytes =
      place_.store_row_bytes > 0 ? static_cast<size_t>(place_.store_row_bytes) : kDefaultRowBytes;
  gateway_options gateway;
  gateway.node = place_.node;
  gateway.peer_address = hub.self.address;
  gateway.revocation = place_.bounds.revocation;
  gateway.config_bound = place_.bounds.config;
  gateway.row_bytes = row_bytes;
  gateway_ = std::make_unique<gateway_core>(gateway, *source_, *records_);
  planner_options planning;
  planning.row_bytes = row_bytes;
  planning.node = place_.node;
  planning.domain = place_.domain;
  planning.nonce = RandomHex(kNonceBytes);
  planning.peer_address = hub.self.address;
  planning.processor = place_.processor;
  planning.early = place_.bounds.early;
  planning.stragglers = {place_.bounds.restore, place_.bounds.stop_timeout};
  planning.tracking.grant = std::min(kGrant, place_.bounds.longest_hold * kGrantPercent / kPercent);
  planner_ = std::make_unique<planner_core>(planning, *records_, *order_);
  gateway_handler_ = std::make_unique<gateway_duty>(*gateway_, *hub_, *front_, *status_, counters_);
  planner_handler_ = std::make_unique<planner_duty>(*planner_, *hub_, clock_, counters_);
  gateway_duty_ = std::make_unique<duty<gateway_event>>(
      duty_options{"gateway", kGatewayRingCapacity, 64, kGatewayTick}, clock_, *gateway_handler_);
  planner_duty_ = std::make_unique<duty<planner_event>>(
      duty_options{"planner", kPlannerRingCapacity, 64, kPlannerTick}, clock_, *planner_handler_);
  gateway_store_ = std::make_unique<store_port<gateway_event>>(*store_, *gateway_duty_);
  planner_store_ = std::make_unique<store_port<planner_event>>(*store_, *planner_duty_);
  gateway_handler_->Connect(*gateway_store_, *planner_duty_);
  planner_handler_->Connect(*planner_store_, *gateway_duty_, *advice_, *directory_, *planner_duty_);
  return Ok();
}

result<void> batch_entry::Start() {
  BOOST_OUTCOME_TRY(Build());
  BOOST_OUTCOME_TRY(hub_->Start(*this));
  gateway_duty_->Start();
  planner_duty_->Start();
  BOOST_OUTCOME_TRY(status_->Start());
  BOOST_OUTCOME_TRY(metrics_page_->Start());
  BOOST_OUTCOME_TRY(front_->Start(*this));
  for (const auto& seed : SeedAddresses(place_)) hub_->Dial(seed);
  log_event("entry-started")
      .With("node", place_.node)
      .With("domain", place_.domain)
      .With("front", place_.front_address)
      .With("store", place_.store_address);
  return Ok();
}

bool batch_entry::OnCall(caller_call call) { return gateway_duty_->Offer(std::move(call)); }

void batch_entry::OnLink(link_event event) {
  if (std::holds_alternative<lane_lost>(event)) return;
  if (const auto* up = std::get_if<peer_up>(&event)) {
    gateway_duty_->Deliver(*up);
    planner_duty_->Deliver(*up);
  } else if (const auto* down = std::get_if<peer_down>(&event)) {
    gateway_duty_->Deliver(*down);
    planner_duty_->Deliver(*down);
  } else if (const auto* refused = std::get_if<peer_refused>(&event)) {
    planner_duty_->Deliver(*refused);
  } else if (auto* received = std::get_if<peer_said>(&event)) {
    const bool both = std::holds_alternative<planner_notice>(received->message);
    const bool callers = std::holds_alternative<job_reply>(received->message) ||
                         std::holds_alternative<load_forecast>(received->message);
    if (both || callers) gateway_duty_->Deliver(peer_said(*received));
    if (!callers) planner_duty_->Deliver(std::move(*received));
  }
}

int batch_entry::Run(const process_signals& signals) {
  while (true) {
    const signal_request request = signals.Next(kMainTick);
    if (request == signal_request::kStop) break;
    if (request == signal_request::kReload) log_event("reload-requested").With("node", place_.node);
  }
  Drain(signals);
  Stop();
  log_event("entry-stopped").With("node", place_.node);
  return 0;
}

/**
 * Reports not ready immediately. Continues to serve until the balancer has reacted and all calls
 * are answered, at most for the platform's grace period less kStopReserve.
 */
void batch_entry::Drain(const process_signals& signals) {
  log_event("drain-started").With("node", place_.node);
  const millis began = clock_.Now();
  const millis longest = std::max(place_.bounds.grace - kStopReserve, kMainTick);
  gateway_duty_->Deliver(gateway_drain{});
  planner_duty_->Deliver(planner_drain{});
  front_->CloseAfterReplies();
  while (clock_.Now() - began < longest) {
    signals.Next(kMainTick / 4);
    const bool idle = gateway_handler_->open_calls() == 0 && front_server_->open_requests() == 0;
    const bool noticed = clock_.Now() - began >= std::min(kBalancerReactionTime, longest);
    if (idle && noticed && planner_handler_->handed_over()) break;
  }
  log_event("drain-finished")
      .With("open_calls", static_cast<int64_t>(gateway_handler_->open_calls()))
      .With("took_ms", (clock_.Now() - began).count());
}

void batch_entry::Stop() {
  if (front_server_) front_server_->Stop();
  if (ready_server_) ready_server_->Stop();
  if (metrics_server_) metrics_server_->Stop();
  if (client_) client_->Stop();
  if (gateway_duty_) gateway_duty_->Stop();
  if (planner_duty_) planner_duty_->Stop();
  if (hub_) hub_->Stop();
}

}  // namespace eelgrass
