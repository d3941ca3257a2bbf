#include "daemons/node/worker_agent.h"

#include "daemons/node/agent_dialler.h"
#include "daemons/node/common_settings.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr size_t kRingCapacity = 8192;
constexpr size_t kRuntimeRingCapacity = 1024;
constexpr millis kTick{100};
constexpr millis kPollInterval{200};

}  // namespace

worker_agent::worker_agent(const settings& values, const clock& time)
    : settings_(values), clock_(time) {}

worker_agent::~worker_agent() { worker_agent::Stop(); }

result<void> worker_agent::Start() {
  const hub_options hub = MakeHubOptions(settings_, peer_role::kWorkerAgent, clock_);
  codec_ = BOOST_OUTCOME_TRYX(codec_registry::Instance().Create("cbor"));
  hub_ = BOOST_OUTCOME_TRYX(hub_registry::Instance().Create("asio", hub, *codec_, clock_));
  runtime_options runtime;
  runtime.url = settings_.text("worker-url");
  runtime_ = BOOST_OUTCOME_TRYX(runtime_registry::Instance().Create("jsonrpc", runtime));
  worker_options options;
  options.agent = hub.self.id;
  options.domain = hub.self.domain;
  options.rack = settings_.text("rack");
  options.region = settings_.text("region");
  options.capacity = {static_cast<int>(settings_.number("accelerators")),
                      static_cast<int>(settings_.number("cores")),
                      static_cast<int>(settings_.number("memory-gb"))};
  core_ = std::make_unique<worker_core>(options);
  config_ = std::make_unique<agent_config>(settings_.list("entries"));
  duty_ = std::make_unique<duty<worker_event>>(duty_options{"worker", kRingCapacity, 64, kTick},
                                               clock_, *this);
  runtime_handler_ = std::make_unique<runtime_duty>(*runtime_, *duty_);
  runtime_duty_ = std::make_unique<duty<runtime_order>>(
      duty_options{"runtime", kRuntimeRingCapacity, 64, kPollInterval}, clock_, *runtime_handler_);
  links_ = std::make_unique<agent_links<worker_event>>(*duty_);
  BOOST_OUTCOME_TRY(hub_->Start(*links_));
  runtime_duty_->Start();
  duty_->Start();
  log_event("agent-started").With("id", options.agent).With("rack", options.rack);
  return Ok();
}

void worker_agent::Handle(std::span<worker_event> events, millis now) {
  for (const auto& event : events) {
    if (const auto* up = std::get_if<peer_up>(&event)) config_->On(*up);
    if (const auto* down = std::get_if<peer_down>(&event)) config_->On(*down);
    if (const auto* received = std::get_if<peer_said>(&event)) config_->On(*received, now);
  }
  config_->Tick(now);
  // A new document takes effect before the messages that arrived in the same batch.
  if (auto doc = config_->TakeChanged()) events_.emplace_back(document_changed{doc});
  for (auto& event : events) events_.push_back(std::move(event));
  ApplyConfigActions(*config_, *hub_);
  core_->Decide(events_, now, clock_.WallNow(), actions_);
  events_.clear();
  for (auto& action : actions_) Execute(action);
  actions_.clear();
  const worker_stats stats = core_->stats();
  open_ = stats.parts + stats.anchored;
  drained_ = core_->drained();
}

void worker_agent::Execute(worker_action& action) {
  if (const auto* send = std::get_if<send_to_peer>(&action)) {
    hub_->Send(send->peer, send->message);
  } else if (const auto* dial = std::get_if<dial_peer>(&action)) {
    hub_->Dial(dial->address);
  } else if (const auto* undial = std::get_if<undial_peer>(&action)) {
    hub_->Undial(undial->address);
  } else if (auto* start = std::get_if<start_tasks>(&action)) {
    // A full ring means that the worker does not answer, so the start fails.
    const gang_id gang = start->gang;
    if (!runtime_duty_->Offer(std::move(*start))) {
      events_.emplace_back(tasks_started{gang, false, "the worker does not answer"});
    }
  } else if (auto* open = std::get_if<open_gate>(&action)) {
    runtime_duty_->Offer(std::move(*open));
  } else if (auto* stop = std::get_if<stop_tasks>(&action)) {
    runtime_duty_->Offer(std::move(*stop));
  } else if (const auto* renew = std::get_if<renew_tasks>(&action)) {
    runtime_duty_->Offer(runtime_order(*renew));
  }
}

void worker_agent::BeginDrain() { duty_->Deliver(drain_wanted{}); }

void worker_agent::Stop() {
  if (duty_) duty_->Stop();
  if (runtime_duty_) runtime_duty_->Stop();
  if (hub_) hub_->Stop();
}

}  // namespace eelgrass
