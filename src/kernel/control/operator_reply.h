/** \file
 * Replies to operators and job owners, independent of any front end's encoding.
 */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/config/config_keeper.h"
#include "kernel/config/document_issue.h"
#include "kernel/config/document_merge.h"
#include "kernel/jobs/job_planner.h"
#include "kernel/records/records.h"

namespace eelgrass {

/** A refused command; `issues` lists the errors of an invalid document. */
struct refusal {
  error problem;
  document_issues issues;
};

/** Jobs, oldest first. */
struct job_list {
  std::vector<job_row> jobs;
};

/** One job and the reason for its current state. */
struct job_detail {
  job_row job;
  job_explanation explanation;
  bool accepted = false;  // whether the job's row has just been written
};

/** One version of the configuration. */
struct config_detail {
  config_record config;
};

/** One change as applied or stored. */
struct change_detail {
  change_record change;
};

struct change_list {
  std::vector<change_record> changes;
};

/** The effect that applying a document would have. */
struct plan_detail {
  bool valid = false;
  document_issues issues;
  std::vector<document_difference> differences;
  int suspended_now = 0;   // guaranteed shapes that the declared racks cannot back
  int suspended_then = 0;  // the same count after the change
  std::vector<std::string> jobs_affected;
};

/** One process and the configuration version it uses. */
struct process_version {
  std::string id;
  std::string role;
  int64_t version = 0;
  int64_t heard_ms = 0;  // time since the last message from the process
};

/** The configuration version of every known process. */
struct process_version_list {
  int64_t version = 0;
  std::vector<process_version> processes;
};

struct worker_summary {
  std::string id;
  std::string domain;
  std::string rack;
  std::string state;
  resources capacity;
  resources own;
  resources borrowed;
  std::vector<std::string> jobs;
};

struct worker_list {
  std::vector<worker_summary> workers;
};

struct upstream_summary {
  std::string id;
  std::string service;
  std::string domain;
  std::string state;
  int slots = 0;
};

struct upstream_list {
  std::vector<upstream_summary> upstreams;
};

struct domain_summary {
  std::string name;
  std::string region;
  bool out = false;
  std::string mode;
  int64_t next_window_ms = 0;  // wall-clock time; 0 means none
  int workers = 0;
  int running = 0;  // jobs with tasks in the domain
};

struct domain_list {
  std::vector<domain_summary> domains;
};

/** The cells of one guaranteed shape, and how many of them are suspended. */
struct guarantee_summary {
  std::string organisation;
  resources shape;
  std::string within;
  int cells = 0;
  int suspended = 0;
};

struct status_detail {
  std::string entry;
  std::string planner;
  int64_t version = 0;
  bool store_down = false;
  bool fresh = false;
  int workers = 0;
  int upstreams = 0;
  planner_stats jobs;
  std::vector<entry_record> entries;
  std::vector<guarantee_summary> guarantees;
};

using operator_reply = std::variant<refusal, job_list, job_detail, config_detail, change_detail,
                                    change_list, plan_detail, process_version_list, worker_list,
                                    upstream_list, domain_list, status_detail>;

/** The reply to an operator_command, with the front end's handle for the caller. */
struct addressed_reply {
  uint64_t caller = 0;
  operator_reply reply;
};

}  // namespace eelgrass
