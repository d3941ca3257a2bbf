/** \file
 * The duty that calls the platform's worker.
 */
#pragma once

#include <variant>

#include "kernel/base/duty_handler.h"
#include "kernel/base/event_sink.h"
#include "kernel/io/worker_runtime.h"
#include "kernel/jobs/worker_events.h"

namespace eelgrass {

using runtime_order = std::variant<start_tasks, open_gate, stop_tasks, renew_tasks>;

/** Makes the blocking calls, polls for events and delivers them to the worker's duty. */
class runtime_duty : public duty_handler<runtime_order> {
 public:
  runtime_duty(worker_runtime& runtime, event_sink<worker_event>& worker)
      : runtime_(runtime), worker_(worker) {}

  void Handle(std::span<runtime_order> orders, millis now) override;

 private:
  void Execute(const start_tasks& order);
  void Execute(const open_gate& order);
  void Execute(const stop_tasks& order);
  void Execute(const renew_tasks& order);
  void Poll();

  worker_runtime& runtime_;
  event_sink<worker_event>& worker_;
  bool may_have_tasks_ = false;  // set by the first start or renewal; enables polling
};

}  // namespace eelgrass
