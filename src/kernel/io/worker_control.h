/** \file
 * Calls to batch workers: the interface of the worker control plug-ins.
 */
#pragma once

#include <functional>

#include "kernel/base/plugin_registry.h"
#include "kernel/batch/worker_calls.h"
#include "kernel/io/http_client.h"

namespace eelgrass {

/** Every call is answered once, on the client's thread. */
class worker_control {
 public:
  virtual ~worker_control() = default;
  virtual void Hold(const hold_call& call, millis timeout,
                    std::function<void(hold_answer)> done) = 0;
  virtual void Start(const start_call& call, millis timeout,
                     std::function<void(start_answer)> done) = 0;
  virtual void Stop(const stop_call& call, millis timeout,
                    std::function<void(stop_answer)> done) = 0;
  virtual void Pace(const pace_call& call, millis timeout,
                    std::function<void(pace_answer)> done) = 0;
};

using worker_control_registry = plugin_registry<worker_control, http_client&>;

template <typename Implementation>
using worker_control_registration =
    plugin_registration<worker_control_registry, worker_control, Implementation, http_client&>;

}  // namespace eelgrass
