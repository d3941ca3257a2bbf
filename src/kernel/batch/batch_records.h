/** \file
 * Records about batch jobs in the platform's store.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/base/plugin_registry.h"
#include "kernel/model/batch_job.h"

namespace eelgrass {

/** Progress of a task, or of a whole gang under the index of its first task. */
struct task_progress {
  int occurrence = 0;
  int step = 0;
  int index = 0;
  bool done = false;
  std::vector<int64_t> failed_runs;  // each counted once, however often its end is listed
  std::string saved;                 // latest checkpoint; empty: none
};

/**
 * One row of a job's progress. The store bounds the size of a row, so that the tasks of a wide job
 * are spread over several. For a job in a final state only the first row is kept, with its state.
 */
struct job_progress {
  std::string job;
  batch_state state = batch_state::kPending;  // of the job; valid in the first row
  std::vector<task_progress> tasks;           // those that differ from their initial state
  int part = 0;                               // number of the row
};

/** The holder of the term. Each write of the planner rewrites this row if its revision matches. */
struct term_record {
  std::string holder;   // id of the entry; empty: handed over
  std::string nonce;    // of the holder's process, to recognise its own writes
  int64_t fence = 0;    // revision of the takeover; 0 in the row that takes over
  int64_t write = 0;    // number of the holder's write
  int64_t sent_ms = 0;  // send time by the store's clock; 0: not known
};

/** A start under a worker's id that may still be carried out. */
struct open_start_record {
  std::string task;
  int64_t run = 0;
  int64_t agent_process = 0;  // incarnation of the agent that sends it; 0: not known
  int64_t until_ms = 0;       // not carried out after this, by the store's clock; 0: not known
};

/** A worker on which runs may have been started; rewritten for each incarnation of it. */
struct worker_record {
  std::string id;
  std::string agent;
  std::string address;
  int64_t born_ms = 0;  // start time of the incarnation at the address; 0: not known
  std::string vm;       // on which that incarnation runs; empty: not known
  bool gone = false;    // that incarnation has ended; the row is kept for its open starts
  std::vector<open_start_record> starts{};
};

/** The speed of a VM, as measured by a planner. */
struct vm_speed_record {
  std::string vm;
  double slowness = 0;      // logarithm, relative to the typical VM
  double deviation = 0;     // standard deviation of that
  int64_t measured_ms = 0;  // by the store's clock
};

/** One row of the known speeds. */
struct speeds_record {
  std::vector<vm_speed_record> vms;
};

/** Encodes and decodes the records. Stateless. */
class batch_record_codec {
 public:
  virtual ~batch_record_codec() = default;
  virtual std::string Encode(const batch_job& job) const = 0;
  virtual std::string Encode(const job_progress& progress) const = 0;
  virtual std::string Encode(const term_record& term) const = 0;
  virtual std::string Encode(const worker_record& worker) const = 0;
  virtual std::string Encode(const speeds_record& speeds) const = 0;
  virtual result<batch_job> DecodeJob(std::string_view text) const = 0;
  virtual result<job_progress> DecodeProgress(std::string_view text) const = 0;
  virtual result<term_record> DecodeTerm(std::string_view text) const = 0;
  virtual result<worker_record> DecodeWorker(std::string_view text) const = 0;
  virtual result<speeds_record> DecodeSpeeds(std::string_view text) const = 0;
};

using record_codec_registry = plugin_registry<batch_record_codec>;

template <typename Implementation>
using record_codec_registration =
    plugin_registration<record_codec_registry, batch_record_codec, Implementation>;

}  // namespace eelgrass
