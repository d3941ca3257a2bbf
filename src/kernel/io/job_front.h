/** \file
 * Fronts of the batch queues: the interfaces of their plug-ins.
 */
#pragma once

#include "kernel/base/event_sink.h"
#include "kernel/base/metrics.h"
#include "kernel/base/plugin_registry.h"
#include "kernel/batch/caller_call.h"
#include "kernel/batch/worker_calls.h"
#include "kernel/io/http_front.h"

namespace eelgrass {

/** Takes the decoded calls; must not block. */
class caller_listener {
 public:
  virtual ~caller_listener() = default;

  /** False when the call cannot be taken now; the front then refuses it as not done. */
  virtual bool OnCall(caller_call call) = 0;
};

/** Turns callers' requests into calls and replies into responses. Decides nothing. */
class job_front {
 public:
  virtual ~job_front() = default;
  virtual result<void> Start(caller_listener& listener) = 0;
  virtual void Reply(const caller_reply& reply) = 0;

  /** Ends each connection after its next response. */
  virtual void CloseAfterReplies() = 0;
};

using job_front_registry = plugin_registry<job_front, http_front&>;

template <typename Implementation>
using job_front_registration =
    plugin_registration<job_front_registry, job_front, Implementation, http_front&>;

/** Takes what workers say of themselves; must not block. */
class beat_listener {
 public:
  virtual ~beat_listener() = default;
  virtual bool OnBeat(worker_heartbeat beat) = 0;
  virtual bool OnLeft(worker_departure left) = 0;
};

/** Where workers register. */
class beat_front {
 public:
  virtual ~beat_front() = default;
  virtual result<void> Start(beat_listener& listener) = 0;
};

using beat_front_registry = plugin_registry<beat_front, http_front&>;

template <typename Implementation>
using beat_front_registration =
    plugin_registration<beat_front_registry, beat_front, Implementation, http_front&>;

}  // namespace eelgrass
