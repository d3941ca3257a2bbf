/** \file
 * Interface of the admission plug-ins, which decide whether a request may join the queue.
 */
#pragma once

#include "kernel/base/millis.h"
#include "kernel/base/plugin_registry.h"

namespace eelgrass {

/** Load of the service and deadline of the request at its arrival. */
struct admission_input {
  int queued = 0;              // requests of the service waiting in this entry
  int queued_ahead = 0;        // of these, the ones that fair queueing serves before the new one
  int max_queue = 0;           // limit of `queued`
  int slots = 0;               // requests that this entry may have in flight
  double mean_service_ms = 0;  // 0 until a request has been measured
  millis deadline{0};          // time left
};

/** Decides whether a request is admitted. */
class admission_policy {
 public:
  virtual ~admission_policy() = default;
  virtual bool Admit(const admission_input& input) const = 0;
};

using admission_registry = plugin_registry<admission_policy>;

template <typename Implementation>
using admission_registration =
    plugin_registration<admission_registry, admission_policy, Implementation>;

}  // namespace eelgrass
