#include "daemons/node/router_duty.h"

namespace eelgrass {

router_duty::router_duty(request_router& router, peer_hub& hub, metrics& counters)
    : router_(router), hub_(hub), counters_(counters) {}

void router_duty::Handle(std::span<router_event> events, millis now) {
  router_.Decide(events, now, actions_);
  for (auto& action : actions_) {
    if (const auto* send = std::get_if<send_to_peer>(&action)) {
      hub_.Send(send->peer, send->message);
    } else {
      front_->Answer(std::get<caller_answer>(action));
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
