/** \file
 * The duty that plans jobs and maintains the configuration.
 */
#pragma once

#include <atomic>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/base/duty_handler.h"
#include "kernel/base/event_sink.h"
#include "kernel/base/metrics.h"
#include "kernel/control/control_core.h"
#include "kernel/front/caller_front.h"
#include "kernel/io/peer_hub.h"
#include "kernel/io/table_store.h"

namespace eelgrass {

/** Passes events to the control core and executes the actions that it returns. */
class control_duty : public duty_handler<control_event>, public store_listener {
 public:
  control_duty(control_core& core, peer_hub& hub, table_store& store,
               event_sink<router_event>& router, event_sink<report_event>& reports,
               const clock& time, metrics& counters);

  /** SetFront and SetSelf must be called before the duty starts. */
  void SetFront(caller_front& front) { front_ = &front; }
  void SetSelf(event_sink<control_event>& self) { self_ = &self; }

  void Handle(std::span<control_event> events, millis now) override;
  void OnStore(store_answer answer) override;

  bool drained() const { return drained_; }
  int64_t version() const { return version_; }

 private:
  void Execute(control_action& action);
  void UpdateMetrics();

  control_core& core_;
  peer_hub& hub_;
  table_store& store_;
  event_sink<router_event>& router_;
  event_sink<report_event>& reports_;
  const clock& clock_;
  metrics& counters_;
  caller_front* front_ = nullptr;
  event_sink<control_event>* self_ = nullptr;
  std::vector<control_action> actions_;
  std::atomic<bool> drained_{false};
  std::atomic<int64_t> version_{0};
};

}  // namespace eelgrass
