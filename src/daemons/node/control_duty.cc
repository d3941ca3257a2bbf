#include "daemons/node/control_duty.h"

#include "kernel/base/log_event.h"

namespace eelgrass {

control_duty::control_duty(control_core& core, peer_hub& hub, table_store& store,
                           event_sink<router_event>& router, event_sink<report_event>& reports,
                           const clock& time, metrics& counters)
    : core_(core),
      hub_(hub),
      store_(store),
      router_(router),
      reports_(reports),
      clock_(time),
      counters_(counters) {}

void control_duty::Handle(std::span<control_event> events, millis now) {
  core_.Decide(events, now, clock_.WallNow(), actions_);
  for (auto& action : actions_) Execute(action);
  actions_.clear();
  drained_ = core_.drained();
  UpdateMetrics();
}

void control_duty::Execute(control_action& action) {
  if (const auto* send = std::get_if<send_to_peer>(&action)) {
    hub_.Send(send->peer, send->message);
  } else if (auto* call = std::get_if<store_call>(&action)) {
    store_.Submit(std::move(*call), *this);
  } else if (const auto* answer = std::get_if<addressed_reply>(&action)) {
    front_->Answer(*answer);
  } else if (const auto* changed = std::get_if<document_changed>(&action)) {
    front_->SetDocument(changed->doc);
    router_.Deliver(*changed);
    reports_.Deliver(*changed);
    version_ = changed->doc->version;
    log_event("config-applied").With("version", changed->doc->version);
  } else if (auto* ended = std::get_if<burn_sample>(&action)) {
    if (!reports_.Offer(std::move(*ended))) counters_.Count("report_samples_dropped_total");
  }
}

void control_duty::OnStore(store_answer answer) {
  // The table limits its calls in flight to well below the ring's capacity.
  if (!self_->Offer(std::move(answer))) {
    log_event("store-answer-dropped", log_level::kError).With("reason", "control ring is full");
  }
}

void control_duty::UpdateMetrics() {
  const planner_stats stats = core_.planner().stats();
  counters_.Set("jobs_waiting", stats.waiting);
  counters_.Set("jobs_active", stats.active);
  counters_.Set("job_starts_total", stats.starts);
  counters_.Set("job_evictions_total", stats.evictions);
  counters_.Set("job_requeues_total", stats.requeued);
  counters_.Set("guarantees_suspended", stats.suspended_guarantees);
  counters_.Set("config_version", core_.keeper().version());
  counters_.Set("store_down", core_.table().store_down() ? 1 : 0);
  counters_.Set("store_writes_total", core_.table().writes_sent());
  counters_.Set("store_scans_total", core_.table().scans_sent());
  counters_.Set("leading", core_.directory().is_planner() ? 1 : 0);
}

}  // namespace eelgrass
