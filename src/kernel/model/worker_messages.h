/** \file
 * What the planning entry and the agents beside batch workers tell each other.
 */
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/model/amounts.h"
#include "kernel/model/batch_job.h"

namespace eelgrass {

/**
 * Fence of the calls to a worker: those of a later term, or under the same term to a later life
 * under its id, have a higher one. A term is a revision of the store, so that this stays below
 * 2^53.
 */
constexpr int64_t FenceOf(int64_t term, int64_t life) {
  constexpr int64_t kLivesPerTerm = 100000;
  return term * kLivesPerTerm + std::min(life, kLivesPerTerm - 1);
}

/** One life of a worker. A worker that restarts may keep its id, never its birth. */
struct worker_identity {
  std::string id;
  int64_t born_ms = 0;  // wall time of its start
  bool operator==(const worker_identity&) const = default;
};

/** What a worker says of itself. */
struct worker_profile {
  worker_identity self;
  std::string service;
  std::string domain;
  std::string address;
  amounts capacity;
  std::string rack;                 // empty: not said
  std::vector<std::string> labels;  // its kind and its rack
  bool draining = false;
  int64_t remaining_ms = -1;  // a draining worker leaves no earlier than this; -1: not known
  int64_t cold_ms = 0;        // slow for this much longer after its start
  std::string vm;             // on which it lives; empty: not said
};

/** A run of a task that a worker lists as running. */
struct listed_run {
  std::string task;
  int64_t run = 0;
  std::string saved;     // checkpoint; empty: none
  int64_t percent = -1;  // of its work that is done; long-running: share at work; -1: not said
  int64_t load = 0;      // tail latency in ms of a serving task, else cores in use x 1000
  int64_t ran_ms = 0;    // for how long its agent has seen it
};

/** How a run ended. */
enum class run_end { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

/** Name of the end in logs. */
std::string_view RunEndName(run_end how);

/** A run of a task that a worker lists as ended. */
struct listed_end {
  int64_t number = 0;  // rises within one life of the worker
  std::string task;
  int64_t run = 0;
  run_end how = run_end::kFailed;
  std::string saved;
};

/** Why a worker did not take a start. */
enum class start_refusal { kFence, kOld, kLate, kRoom, kTicket, kInvalid, kUnhealthy, kBarred };

/** Name of the refusal in logs. */
std::string_view StartRefusalName(start_refusal reason);

/** A start that certainly has not happened and never will. */
struct refused_start {
  std::string task;
  int64_t run = 0;
  start_refusal reason = start_refusal::kRoom;
};

/** A start without an answer, which a worker under the id that it names may still carry out. */
struct unanswered_start {
  std::string task;
  int64_t run = 0;
  int64_t left_ms = 0;  // from the report on; it is not carried out after that
};

/**
 * Agent to planner: everything about its worker. Sent when it changes, and as a heartbeat. The
 * other entries get only the unanswered starts, without a term.
 */
struct worker_report {
  int64_t term = 0;      // whose fence the worker has confirmed; 0: not yet any
  int64_t life = 0;      // of the confirmed fence: lives under the id before, within the term
  int64_t sequence = 0;  // of this agent process
  int64_t sent_ms = 0;   // agent's clock
  bool present = false;  // there is a worker
  bool listed = false;   // the lists were read from this life of the worker under `term`
  worker_profile worker;
  int64_t listed_ago_ms = 0;  // how long before the report the lists were read
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  bool more_ends = false;   // further runs may have ended: the worker lists so many ends at a time
  int64_t lapsed_upto = 0;  // before these ends were reported, the lease may have lapsed
  std::vector<refused_start> refused;
  std::vector<unanswered_start> unanswered;  // to any incarnation under the worker's id
};

/** What an entry knows of the starts that may still be carried out under one worker's id. */
struct worker_open_starts {
  std::string worker;   // id
  std::string address;  // empty: not known
  std::string vm;       // on which it lived; empty: not known
  std::vector<unanswered_start> starts;
  std::string agent{};        // that calls the worker; empty: not known
  int64_t agent_process = 0;  // the agent's incarnation; 0: not known
};

/** Names one run. */
struct run_ref {
  std::string task;
  int64_t run = 0;
  auto operator<=>(const run_ref&) const = default;
};

/** Starts under one worker's id that cannot be carried out any more. */
struct worker_settled_starts {
  std::string worker;  // id
  std::vector<run_ref> runs;
  int64_t agent_process = 0;  // that called, see worker_open_starts
};

/**
 * Entry to entry: the starts that may still be carried out. Sent when they connect, to each next
 * planner, and by the planner before it orders starts. Agent to planner, when it follows a new one:
 * the calls of its process without an answer; no other call of it is open.
 */
struct open_starts_notice {
  std::vector<worker_open_starts> workers;
  std::vector<worker_settled_starts> settled{};
  int64_t number = 0;  // that the answer names; 0: no answer is wanted
  int64_t term = 0;    // of the planner that the agent follows; 0: from an entry
};

/** Entry to planner: the starts of a notice are known here. */
struct open_starts_received {
  int64_t number = 0;
};

/** A run that the planner wants on the worker. */
struct wanted_run {
  std::string task;
  int64_t run = 0;
  std::string spec;
  std::string saved;
  std::string ticket{};
  int64_t target_ms = 0;  // long-running tasks: latency target
  bool fills = false;
  bool confirmed = false;  // the planner has seen it listed; sent for pacing only
};

/** Whether a list of runs, of whatever kind, has this one. */
template <typename List>
bool Contains(const List& list, const run_ref& run) {
  return std::any_of(list.begin(), list.end(), [&](const auto& entry) {
    return entry.task == run.task && entry.run == run.run;
  });
}

/**
 * Planner to agent: all that the planner wants of this life of the worker and has not seen done.
 * Repeated until the agent's reports show it, so that lost messages do no harm.
 */
struct worker_order {
  int64_t term = 0;
  int64_t sequence = 0;  // a lower one that arrives late is ignored
  worker_identity worker;
  int64_t life = 0;  // for the fence: lives under the id before this one, within the term
  std::vector<wanted_run> starts;
  std::vector<run_ref> stops;
  std::vector<run_ref> forget;  // refusals that the planner has noted
  int64_t seen_upto = 0;        // ends up to this number are stored
  int64_t grant_sequence = 0;   // the report that the grant answers
  int64_t grant_ms = 0;         // the lease may run this long from when that report was sent
};

/** Planner to everybody: who plans, under which fence, and which entries there are. */
struct planner_notice {
  int64_t term = 0;
  std::string planner;  // id of the entry; empty when it hands the term over
  bool store_lost = false;
  std::vector<std::string> entries;  // addresses for agents
};

/** Entry to planner: a job's row has just been stored. The store's feed repeats it. */
struct job_accepted {
  std::string job;
  std::string record;    // the row's value
  int64_t revision = 0;  // of the row
};

/** What callers may ask the planner through any entry. */
enum class job_question { kState, kCancel, kWaiting };

/** Entry to planner. */
struct job_inquiry {
  int64_t id = 0;  // of the asking entry
  job_question question = job_question::kState;
  std::string job;
  std::string queue;
};

/** What the planner knows about an inquiry. */
enum class inquiry_outcome { kKnown, kNoSuchJob, kNotPlanner, kUnavailable };

/** Planner to entry. */
struct job_reply {
  int64_t id = 0;
  inquiry_outcome outcome = inquiry_outcome::kUnavailable;
  batch_state state = batch_state::kPending;
  int64_t waiting = 0;
};

}  // namespace eelgrass
