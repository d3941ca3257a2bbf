#include "daemons/node/router_duty.h"

#include "kernel/base/http_status.h"

namespace eelgrass {

namespace {

/** Whether an outcome is a sample of the service level; errors of the caller are not. */
bool CountsTowardsServiceLevel(const caller_answer& answer) {
  const bool served = answer.outcome == request_outcome::kCompleted;
  return served || answer.status >= http_status::kFirstServerError ||
         answer.status == http_status::kTooManyRequests;
}

}  // namespace

router_duty::router_duty(request_router& router, peer_hub& hub, event_sink<report_event>& reports,
                         metrics& counters)
    : router_(router), hub_(hub), reports_(reports), counters_(counters) {}

void router_duty::Execute(const caller_answer& answer) {
  front_->Answer(answer);
  counters_.Record("request_latency_ms", static_cast<double>(answer.latency.count()));
  if (!CountsTowardsServiceLevel(answer)) return;
  const bool good = answer.outcome == request_outcome::kCompleted &&
                    answer.status < http_status::kFirstServerError;
  burn_sample sample{answer.organisation, answer.service,      good,
                     answer.latency,      answer.problem.step, answer.problem.peer};
  // If the ring is full, the report loses a sample; the caller was already answered.
  if (!reports_.Offer(std::move(sample))) counters_.Count("report_samples_dropped_total");
}

void router_duty::Handle(std::span<router_event> events, millis now) {
  router_.Decide(events, now, actions_);
  for (auto& action : actions_) {
    if (const auto* send = std::get_if<send_to_peer>(&action)) {
      hub_.Send(send->peer, send->message);
    } else {
      Execute(std::get<caller_answer>(action));
    }
  }
  actions_.clear();
  const router_stats stats = router_.stats();
  in_flight_ = stats.in_flight + stats.queued;
  drained_ = router_.drained();
  counters_.Set("router_in_flight", stats.in_flight);
  counters_.Set("router_queued", stats.queued);
  counters_.Set("router_attempts_total", stats.attempts);
  counters_.Set("router_retries_total", stats.retries);
  counters_.Set("router_refused_total", stats.refused);
  counters_.Set("router_resolves_total", stats.resolves);
}

}  // namespace eelgrass
