/** \file
 * The configuration document: everything that operators decide.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/resources.h"

namespace eelgrass {

/** How close to each other the accelerators of a gang or a guarantee have to be. */
enum class adjacency { kWorker, kRack, kDomain, kRegion, kAny };

std::string_view AdjacencyName(adjacency value);

/** The rank of a job class: urgent work may stop borrowers at once. */
enum class urgency { kUrgent, kNormal, kBatch };

std::string_view UrgencyName(urgency value);

/** What happens to running work when a failure domain is taken out. */
enum class window_mode { kDrain, kMove, kStop };

std::string_view WindowModeName(window_mode value);

/** Workers of one rack as the operators declare them, for checking guarantees. */
struct rack_capacity {
  std::string name;
  int workers = 0;
  resources each;  // of one worker
};

/** A failure domain and what is expected in it. */
struct domain_entry {
  std::string name;
  std::string region;
  bool out = false;
  window_mode out_mode = window_mode::kMove;
  std::vector<rack_capacity> racks;
};

/** A booked time during which a failure domain is out of service. */
struct service_window {
  std::string domain;
  int64_t from_ms = 0;  // wall time
  int64_t to_ms = 0;    // wall time
  window_mode mode = window_mode::kDrain;
};

/**
 * `count` shapes that the organisation can always get back. A shape with accelerators that names no
 * cores or memory includes the worker's cores and memory in proportion.
 */
struct guarantee {
  resources shape;
  adjacency within = adjacency::kWorker;
  int count = 1;
};

/** A customer with its share of requests and its guaranteed capacity. */
struct organisation {
  std::string name;
  int weight = 1;  // share of request slots and of unguaranteed accelerators
  std::vector<std::string> token_digests;  // SHA-256, hexadecimal
  std::vector<guarantee> guarantees;
  int max_connections = 0;  // open requests per entry; 0: the service's default
};

/** A person who may change the document. */
struct operator_entry {
  std::string name;
  std::vector<std::string> token_digests;  // SHA-256, hexadecimal
  bool may_review = true;
};

/** A class of jobs and what its users agreed to. */
struct job_class {
  std::string name;
  urgency rank = urgency::kNormal;
  bool idempotent = true;   // may be run again when its outcome is unknown
  millis checkpoint_ms{0};  // longest time that a checkpoint takes; 0: cannot checkpoint
  millis longest_ms{0};     // longest run time allowed; 0: no bound
  int max_attempts = 3;     // starts on distinct workers before the job is parked
};

/** A service that callers reach through the entries. */
struct service_entry {
  std::string name;
  millis default_deadline_ms{10000};
  int64_t max_body = 1 << 20;  // bytes
  int max_queue = 4096;        // requests waiting in one entry
};

/** A service-level objective. */
struct objective {
  std::string organisation;  // empty: every organisation
  std::string service;       // service or job class
  double target = 0.999;     // share of good requests
  millis latency_ms{0};      // a slower answer is not good; 0: any time
};

/** The whole document. `version` is set when it is accepted; `base` is what its author started
 * from. */
struct document {
  int64_t version = 0;
  int64_t base = 0;
  std::string deployment;
  bool review_required = false;
  std::vector<domain_entry> domains;
  std::vector<service_window> windows;
  std::vector<organisation> organisations;
  std::vector<operator_entry> operators;
  std::vector<job_class> job_classes;
  std::vector<service_entry> services;
  std::vector<objective> objectives;

  const domain_entry* FindDomain(std::string_view name) const;
  const organisation* FindOrganisation(std::string_view name) const;
  const job_class* FindJobClass(std::string_view name) const;
  const service_entry* FindService(std::string_view name) const;

  /** Whether the domain is out at the given wall time, by order or by window; and in which mode. */
  bool IsOut(std::string_view domain, millis wall_now, window_mode* mode = nullptr) const;

  /** The start of the next booked window of the domain after `wall_now`, or kFarFuture. */
  millis NextWindow(std::string_view domain, millis wall_now) const;
};

}  // namespace eelgrass
