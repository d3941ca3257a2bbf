/** \file
 * What operators and owners of jobs are told, free of any front end's encoding.
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

/** A refusal; `issues` when a document is at fault. */
struct refusal {
  error problem;
  document_issues issues;
};

/** Jobs, oldest first. */
struct job_list {
  std::vector<job_row> jobs;
};

/** One job and why it is where it is. */
struct job_detail {
  job_row job;
  job_explanation explanation;
  bool accepted = false;  // just now
};

/** The configuration in force. */
struct config_detail {
  config_record config;
};

/** A change that has been applied or whose row has been written. */
struct change_detail {
  change_record change;
};

struct change_list {
  std::vector<change_record> changes;
};

/** What a document would change. */
struct plan_detail {
  bool valid = false;
  document_issues issues;
  std::vector<document_difference> differences;
  int suspended_now = 0;   // guaranteed shapes without backing by the racks declared today
  int suspended_then = 0;  // the same after the change
  std::vector<std::string> jobs_affected;
};

/** One process and the version in force there. */
struct process_version {
  std::string id;
  std::string role;
  int64_t version = 0;
  int64_t heard_ms = 0;  // since the process was heard
};

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
  int64_t next_window_ms = 0;  // wall time; 0: none
  int workers = 0;
  int running = 0;  // jobs with tasks there
};

struct domain_list {
  std::vector<domain_summary> domains;
};

/** A guaranteed shape and whether it is backed. */
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

/** The answer to an operator_command. */
struct addressed_reply {
  uint64_t caller = 0;
  operator_reply reply;
};

}  // namespace eelgrass
