/** \file
 * Whether a request may join the queue: the interface of the admission plug-ins.
 */
#pragma once

#include "kernel/base/millis.h"
#include "kernel/base/plugin_registry.h"

namespace eelgrass {

/** What is known when a request arrives. */
struct admission_input {
  int queued = 0;              // requests of the service waiting in this entry
  int queued_ahead = 0;        // of those, the ones that fair queueing would serve earlier
  int max_queue = 0;           // requests
  int slots = 0;               // requests that this entry may have in flight
  double mean_service_ms = 0;  // 0 when nothing has been measured yet
  millis deadline{0};          // time left
};

/** Decides on admission. */
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
