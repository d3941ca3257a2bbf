/** \file
 * What operators decide about batch queues.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"

namespace eelgrass {

/** The advice that a queue's policy demands before a step may start. */
struct advice_policy {
  bool wanted = false;
  millis decide{0};      // time of one call
  millis per_worker{0};  // added for each worker that is named
  millis valid{0};       // of a ticket, from the answer; 0: unknown
};

/** A queue for batch jobs, found by the host and path of a call. */
struct batch_queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;  // whose workers run the tasks
  int priority = 0;     // 0 goes first and may preempt
  int attempts = 1;     // failed runs of a task after which its job fails
  double stretch = 1;   // objective: stretch x longest chain of work + target_latency
  millis target_latency{0};
  millis timeout{0};         // of a call
  bool open_to_all = false;  // calls need no key
  advice_policy advice;
};

/** A pool of workers that run the same kind of task. */
struct worker_service {
  std::string name;
  bool rejects_overload = true;  // its workers refuse what does not fit
  bool standby = false;          // its VMs are off
};

/** A customer of the batch queues. */
struct batch_organisation {
  std::string name;
  std::set<std::string, std::less<>> keys;
  int64_t guaranteed_accelerators = 0;  // for its jobs of priority 0, at all times
};

/** One version of what operators decide, whole. */
struct batch_config {
  int64_t version = 0;
  std::vector<batch_queue> queues;
  std::vector<worker_service> services;
  std::vector<batch_organisation> organisations;
  int64_t max_body_bytes = 262144;

  /** The queue with this host and the longest prefix of the path; nullptr when there is none. */
  const batch_queue* FindQueue(std::string_view host, std::string_view path) const;
  const batch_queue* FindQueueByName(std::string_view name) const;

  /** The organisation that holds a key; nullptr when nobody does. */
  const batch_organisation* FindKey(std::string_view key) const;
  const batch_organisation* FindOrganisation(std::string_view name) const;
  const worker_service* FindService(std::string_view name) const;
};

/** A wave of upkeep that operators ask for. */
struct upkeep_wave {
  int64_t number = 0;
  std::vector<std::string> vms;
  millis within{0};  // of the request
  int most_at_once = 1;
  millis seen{0};  // when this process read it, by its clock
};

/** Everything that operators have said, with the version of each row. */
struct operator_state {
  std::shared_ptr<const batch_config> config;
  int64_t config_revision = 0;           // of the configuration's row in the store
  std::set<std::string> evacuated;       // failure domains
  std::map<int64_t, upkeep_wave> waves;  // by number
};

}  // namespace eelgrass
