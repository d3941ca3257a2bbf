/** \file
 * Events handled and actions requested by a worker's agent.
 */
#pragma once

#include <string>
#include <variant>

#include "kernel/model/duty_events.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/** The worker has started a gang's tasks behind the closed gate, or has failed to start them. */
struct tasks_started {
  gang_id gang;
  bool started = false;
  std::string reason;
};

/** A gang's tasks on this worker have ended by themselves. */
struct tasks_ended {
  gang_id gang;
  bool success = false;
  std::string reason;
};

/** A gang's tasks on this worker were stopped on request. */
struct tasks_stopped {
  gang_id gang;
  bool saved = false;  // a checkpoint was saved
};

using worker_event = std::variant<peer_up, peer_down, peer_said, document_changed, tasks_started,
                                  tasks_ended, tasks_stopped, drain_wanted>;

/** Starts tasks behind a closed gate. */
struct start_tasks {
  gang_id gang;
  int tasks = 0;
  resources amount;
  int64_t run_ms = 0;  // for worker stand-ins
  bool fails = false;  // for worker stand-ins
};

/** Opens the gate, so that started tasks begin to work. */
struct open_gate {
  gang_id gang;
};

/** Stops tasks after a checkpoint of at most `checkpoint_ms`; 0 stops them at once. */
struct stop_tasks {
  gang_id gang;
  int64_t checkpoint_ms = 0;
};

/** Extends the lease of all tasks; the worker stops them when it expires. */
struct renew_tasks {
  int64_t lease_ms = 0;
};

using worker_action = std::variant<send_to_peer, dial_peer, undial_peer, start_tasks, open_gate,
                                   stop_tasks, renew_tasks>;

}  // namespace eelgrass
