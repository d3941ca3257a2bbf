#include "daemons/node/entry_node.h"

#include "daemons/node/common_settings.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr size_t kRouterRingCapacity = 8192;
constexpr size_t kControlRingCapacity = 16384;
constexpr size_t kReportRingCapacity = 16384;
constexpr millis kReportTick{1000};
constexpr millis kRouterTick{20};
constexpr millis kControlTick{50};
constexpr millis kMainTick{200};
constexpr millis kWarmUp{1500};  // lets agents connect before keyed requests are accepted
constexpr millis kMaxDrain{130000};

}  // namespace

std::vector<setting_spec> EntrySettings() {
  auto specs = PeerSettings();
  specs.push_back(AddressSetting("listen", "127.0.0.1:8080", false, "address for callers"));
  specs.push_back(TextSetting("store-url", "http://127.0.0.1:7000",
                              "URL of the platform's table service and object store"));
  specs.push_back(IntSetting("store-writes-per-second", 100, 1, 1000,
                             "this entry's share of the table service's writes"));
  specs.push_back(IntSetting("store-scan-ms", 500, 50, 10000, "time between two scans"));
  specs.push_back(TextSetting("bootstrap-digest", "",
                              "SHA-256 of the token that may apply the first document"));
  specs.push_back(ChoiceSetting("routing", "least_loaded", routing_registry::Instance().names(),
                                "routing policy"));
  specs.push_back(ChoiceSetting("admission", "predicted_wait",
                                admission_registry::Instance().names(), "admission policy"));
  specs.push_back(ChoiceSetting("placement", "best_fit", placement_registry::Instance().names(),
                                "placement policy"));
  specs.push_back(ChoiceSetting("ordering", "fair_share", queue_registry::Instance().names(),
                                "ordering policy of waiting jobs"));
  specs.push_back(IntSetting("drain-delay-ms", 500, 0, 60000,
                             "time between not being ready and refusing new requests"));
  return specs;
}

entry_node::entry_node(const settings& values, const clock& time)
    : settings_(values), clock_(time), started_(time.Now()) {}

entry_node::~entry_node() { Stop(); }

result<void> entry_node::Start() {
  BOOST_OUTCOME_TRY(Build());
  report_duty_->Start();
  router_duty_->Start();
  control_duty_->Start();
  BOOST_OUTCOME_TRY(hub_->Start(*links_));
  BOOST_OUTCOME_TRY(front_->Start());
  log_event("entry-started")
      .With("id", settings_.text("id"))
      .With("listen", settings_.text("listen"))
      .With("port", server_->port())
      .With("peer_port", hub_->port());
  return Ok();
}

result<void> entry_node::Build() {
  hub_options hub = MakeHubOptions(settings_, peer_role::kEntry, clock_);
  const int64_t incarnation = hub.self.incarnation;
  const std::string id = settings_.text("id");
  const std::string domain = settings_.text("domain");
  codec_ = BOOST_OUTCOME_TRYX(codec_registry::Instance().Create("cbor"));
  hub_ = BOOST_OUTCOME_TRYX(hub_registry::Instance().Create("asio", hub, *codec_, clock_));
  client_ = BOOST_OUTCOME_TRYX(client_registry::Instance().Create("curl", client_options{}));
  store_options store;
  store.url = settings_.text("store-url");
  store_ = BOOST_OUTCOME_TRYX(store_registry::Instance().Create("http", store, *client_));
  front_options server;
  server.listen = settings_.text("listen");
  server_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", server));
  BOOST_OUTCOME_TRY(routing, routing_registry::Instance().Create(settings_.text("routing")));
  BOOST_OUTCOME_TRY(admission, admission_registry::Instance().Create(settings_.text("admission")));
  BOOST_OUTCOME_TRY(ordering, queue_registry::Instance().Create(settings_.text("ordering")));
  BOOST_OUTCOME_TRY(placement, placement_registry::Instance().Create(settings_.text("placement")));
  router_ = std::make_unique<request_router>(router_options{id, incarnation, domain},
                                             std::move(routing), std::move(admission));
  control_options control;
  control.self = {id, incarnation, settings_.text("peer-listen"), domain};
  control.writes_per_second = static_cast<int>(settings_.number("store-writes-per-second"));
  control.scan_interval = millis(settings_.number("store-scan-ms"));
  control.bootstrap_digest = settings_.text("bootstrap-digest");
  control_ = std::make_unique<control_core>(control, std::move(ordering), std::move(placement));
  reports_ = std::make_unique<report_core>("burn-" + id + "-" + std::to_string(incarnation));
  report_handler_ =
      std::make_unique<report_duty>(*reports_, *client_, settings_.text("store-url"), clock_);
  report_duty_ = std::make_unique<duty<report_event>>(
      duty_options{"report", kReportRingCapacity, 256, kReportTick}, clock_, *report_handler_);
  router_handler_ = std::make_unique<router_duty>(*router_, *hub_, *report_duty_, counters_);
  router_duty_ = std::make_unique<duty<router_event>>(
      duty_options{"router", kRouterRingCapacity, 64, kRouterTick}, clock_, *router_handler_);
  control_handler_ = std::make_unique<control_duty>(*control_, *hub_, *store_, *router_duty_,
                                                    *report_duty_, clock_, counters_);
  control_duty_ = std::make_unique<duty<control_event>>(
      duty_options{"control", kControlRingCapacity, 256, kControlTick}, clock_, *control_handler_);
  links_ = std::make_unique<entry_links>(*router_duty_, *control_duty_);
  front_context context{*server_,
                        *router_duty_,
                        *control_duty_,
                        *report_duty_,
                        counters_,
                        id,
                        settings_.text("bootstrap-digest")};
  front_ = BOOST_OUTCOME_TRYX(caller_front_registry::Instance().Create("rest", std::move(context)));
  router_handler_->SetFront(*front_);
  control_handler_->SetFront(*front_);
  control_handler_->SetSelf(*control_duty_);
  report_handler_->SetFront(*front_);
  report_handler_->SetSelf(*report_duty_);
  return Ok();
}

int entry_node::Run(const process_signals& signals) {
  while (!signals.WaitFor(kMainTick)) {
    const bool warm = clock_.Now() - started_ >= kWarmUp;
    front_->SetReady(warm && control_handler_->version() > 0);
    UpdateRingMetrics();
  }
  Drain(signals);
  Stop();
  const bool all_finished = Finished();
  log_event("entry-stopped").With("unfinished", static_cast<int64_t>(server_->open_requests()));
  return all_finished ? 0 : 1;
}

/**
 * May be called after a partly failed start. The client and the hub are stopped here because they
 * call members that are destroyed before them.
 */
void entry_node::Stop() {
  if (server_) server_->Stop();
  if (control_duty_) control_duty_->Stop();
  if (router_duty_) router_duty_->Stop();
  if (report_duty_) report_duty_->Stop();
  if (client_) client_->Stop();
  if (hub_) hub_->Stop();
}

void entry_node::Drain(const process_signals& signals) {
  log_event("entry-draining").With("in_flight", router_handler_->in_flight());
  front_->SetReady(false);
  control_duty_->Deliver(drain_wanted{});
  const millis begun = clock_.Now();
  if (!signals.WaitFor(millis(settings_.number("drain-delay-ms")))) {
    router_duty_->Deliver(drain_wanted{});
  }
  router_duty_->Deliver(drain_wanted{});
  while (!Finished() && clock_.Now() - begun < kMaxDrain) {
    if (!signals.WaitFor(kMainTick)) continue;
    log_event("entry-drain-signal-ignored", log_level::kWarning)
        .With("requests", router_handler_->in_flight())
        .With("open", static_cast<int64_t>(server_->open_requests()));
  }
}

bool entry_node::Finished() const {
  return router_handler_->drained() && control_handler_->drained() && server_->open_requests() == 0;
}

void entry_node::UpdateRingMetrics() {
  const auto show = [this](const std::string& name, const ring_stats& stats) {
    const std::string label = "{ring=\"" + name + "\"}";
    counters_.Set("ring_depth" + label, static_cast<int64_t>(stats.depth));
    counters_.Set("ring_max_depth" + label, static_cast<int64_t>(stats.max_depth));
    counters_.Set("ring_rejected_total" + label, static_cast<int64_t>(stats.rejected));
    counters_.Set("ring_wait_ms_total" + label, static_cast<int64_t>(stats.waited_ms));
    counters_.Set("ring_accepted_total" + label, static_cast<int64_t>(stats.accepted));
  };
  show(router_duty_->name(), router_duty_->stats());
  show(control_duty_->name(), control_duty_->stats());
  show(report_duty_->name(), report_duty_->stats());
  const hub_stats hub = hub_->stats();
  counters_.Set("peer_bytes_in_total", static_cast<int64_t>(hub.bytes_in));
  counters_.Set("peer_bytes_out_total", static_cast<int64_t>(hub.bytes_out));
  counters_.Set("peer_frames_in_total", static_cast<int64_t>(hub.frames_in));
  counters_.Set("peer_frames_out_total", static_cast<int64_t>(hub.frames_out));
  counters_.Set("peer_lanes_lost_total", static_cast<int64_t>(hub.lanes_lost));
  counters_.Set("peer_refused_total", static_cast<int64_t>(hub.refused_peers));
  counters_.Set("peer_dropped_sends_total", static_cast<int64_t>(hub.dropped_sends));
}

}  // namespace eelgrass
