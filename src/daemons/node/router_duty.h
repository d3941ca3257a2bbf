/** \file
 * The duty that routes requests.
 */
#pragma once

#include <atomic>
#include <vector>

#include "kernel/base/duty_handler.h"
#include "kernel/base/event_sink.h"
#include "kernel/base/metrics.h"
#include "kernel/front/caller_front.h"
#include "kernel/io/peer_hub.h"
#include "kernel/requests/request_router.h"

namespace eelgrass {

/** Passes events to the router and executes the actions that it returns. */
class router_duty : public duty_handler<router_event> {
 public:
  router_duty(request_router& router, peer_hub& hub, event_sink<report_event>& reports,
              metrics& counters);

  /** Must be called before the duty starts. */
  void SetFront(caller_front& front) { front_ = &front; }

  void Handle(std::span<router_event> events, millis now) override;

  bool drained() const { return drained_; }
  int in_flight() const { return in_flight_; }

 private:
  void Execute(const caller_answer& answer);

  request_router& router_;
  peer_hub& hub_;
  event_sink<report_event>& reports_;
  metrics& counters_;
  caller_front* front_ = nullptr;
  std::vector<router_action> actions_;
  std::atomic<bool> drained_{false};
  std::atomic<int> in_flight_{0};
};

}  // namespace eelgrass
