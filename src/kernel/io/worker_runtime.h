/** \file
 * The platform's interface for running tasks on a worker: the interface of the runtime plug-ins.
 */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "kernel/base/plugin_registry.h"
#include "kernel/jobs/worker_events.h"

namespace eelgrass {

using runtime_event = std::variant<tasks_started, tasks_ended, tasks_stopped>;

/** Runs tasks under leases. Calls block; they are made by one duty of the agent only. */
class worker_runtime {
 public:
  virtual ~worker_runtime() = default;

  virtual result<void> Start(const start_tasks& order) = 0;
  virtual result<void> OpenGate(const open_gate& order) = 0;
  virtual result<void> Stop(const stop_tasks& order) = 0;

  /** Without it the worker stops all tasks when the lease is over. */
  virtual result<void> Renew(const renew_tasks& order) = 0;

  /** What has happened since the last successful call. */
  virtual result<std::vector<runtime_event>> Poll() = 0;
};

struct runtime_options {
  std::string url;  // of the worker's own interface
  millis timeout{1000};
};

using runtime_registry = plugin_registry<worker_runtime, runtime_options>;

template <typename Implementation>
using runtime_registration =
    plugin_registration<runtime_registry, worker_runtime, Implementation, runtime_options>;

}  // namespace eelgrass
