/** \file
 * The messages between entries and agents. Encoding them is the work of a peer_codec plug-in.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/bytes.h"
#include "kernel/model/load_forecast.h"
#include "kernel/model/resources.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** What kind of process a peer is. */
enum class peer_role { kEntry, kUpstreamAgent, kWorkerAgent, kClient };

/** One HTTP header field. */
struct header_field {
  std::string name;
  std::string value;
  bool operator==(const header_field&) const = default;
};

/** First message of each side on a connection. */
struct hello {
  std::string id;
  int64_t incarnation = 0;  // differs at each start of the process
  peer_role role = peer_role::kEntry;
  std::string address;  // where the peer accepts connections; IP:PORT
  std::string domain;
  std::string nonce;     // fresh random text
  std::string mac;       // HMAC-SHA256 over the other side's nonce and this message
  double processor = 0;  // cores, or share of one; 0: not known. A hint that `mac` does not cover
};

/** An agent's announcement of what it offers. Sent when it changes and to each new entry. */
struct announce {
  std::string service;  // upstream agents
  int slots = 0;        // upstream agents
  std::string rack;     // worker agents
  std::string region;   // worker agents
  resources capacity;   // worker agents
  bool leaving = false;
};

/** Entry to upstream agent: how many requests the entry would like to run there. */
struct slot_demand {
  int wanted = 0;
};

/** Upstream agent to entry: how many requests the entry may have in flight there. */
struct slot_credit {
  int credits = 0;
};

/** An agent's periodic report to an entry. */
struct agent_heartbeat {
  int64_t version = 0;  // of the document in force at the agent
};

/** An entry's periodic report to an agent. */
struct entry_heartbeat {
  int64_t version = 0;
  int64_t sent_ms = 0;    // entry's clock, to bound the age of messages
  bool fresh = false;     // the entry knows that `version` is the latest
  int64_t permit_ms = 0;  // how long a fresh heartbeat permits starts
  bool sustains = false;  // gangs may go on on the strength of this heartbeat
  std::vector<std::string> entry_addresses;
};

/** A document on its way to a peer, as JSON text. */
struct config_update {
  int64_t version = 0;
  std::string text;
  bool reduced = false;  // only what a worker agent needs: failure domains and windows
};

/** Asks for the document in force at the peer. */
struct config_fetch {};

/** One attempt to run a caller's request. */
struct attempt {
  std::string id;  // unique to this attempt
  std::string organisation;
  std::string method;
  std::string path;
  std::vector<header_field> headers;
  bytes body;
  int64_t sent_ms = 0;      // entry's clock
  int64_t deadline_ms = 0;  // time left when sent
  bool idempotent = false;
  std::string key;  // service, organisation and idempotency key; or empty
};

/** How far an attempt has come at an agent. */
enum class attempt_state {
  kFinished,  // The answer is whole.
  kRunning,   // Not decided yet.
  kNotRun,    // Did not run and will not run at this agent.
  kUnknown,   // May have run; there is no answer and there will be none.
};

/** The answer to an attempt, or to a resolve. */
struct attempt_answer {
  std::string id;
  attempt_state state = attempt_state::kUnknown;
  int status = 0;
  std::vector<header_field> headers;
  bytes body;
  std::string reason;      // why it did not run or is unknown
  int64_t service_ms = 0;  // time that the upstream took
};

/** Asks what became of an attempt whose answer has not come. Unseen attempts are barred by it. */
struct resolve {
  std::string id;
};

/** Tells the agent that these answers have arrived, so that it need not keep them. */
struct attempt_done {
  std::vector<std::string> ids;
};

/** Records at a second agent that a keyed request is about to run at another one. */
struct claim {
  std::string id;    // the request, the same through all its attempts
  std::string key;   // service, organisation and idempotency key
  std::string home;  // the agent at which it will run
  int64_t home_incarnation = 0;
};

/** What the second agent knows about the key. */
enum class claim_state {
  kGranted,  // Nothing known; the claim is recorded.
  kClaimed,  // Another attempt has claimed the key for `home`.
  kHere,     // The request has run or is running at the answering agent itself.
  kRefused,  // The agent cannot record claims now.
};

/** Answer to a claim. */
struct claim_answer {
  std::string id;
  claim_state state = claim_state::kRefused;
  std::string home;  // where the key was claimed for
  int64_t home_incarnation = 0;
};

/** One worker's part of a gang. */
struct gang_member {
  std::string agent;
  std::string address;  // IP:PORT of the agent
  int tasks = 0;
  resources amount;  // in all, on this worker
  bool operator==(const gang_member&) const = default;
};

/** Names one start of one job. */
struct gang_id {
  std::string job;
  int64_t epoch = 0;  // raised at every start
  auto operator<=>(const gang_id&) const = default;
};

/** Asks an agent to set accelerators aside until a deadline. */
struct reserve {
  gang_id gang;
  int tasks = 0;
  resources amount;
  int64_t hold_ms = 0;
  int64_t version = 0;  // of the document that the planner used
};

struct reserve_answer {
  gang_id gang;
  bool granted = false;
  std::string reason;
};

/** Gives a reservation back, or gives up a start that was not committed. */
struct release {
  gang_id gang;
};

/** Hands a reserved gang to the agent of its first member, which decides from then on. */
struct commit {
  gang_id gang;
  std::vector<gang_member> members;
  int64_t run_ms = 0;    // true run time, used by worker stand-ins only
  int64_t limit_ms = 0;  // longest run time; 0: no bound
  bool fails = false;    // used by worker stand-ins only
};

/** Anchor to member: hold the accelerators under the anchor's lease. */
struct gang_arm {
  gang_id gang;
  std::string anchor;
  int64_t lease_ms = 0;
  int64_t run_ms = 0;
  bool fails = false;
};

struct gang_armed {
  gang_id gang;
  bool armed = false;
  std::string reason;
};

/** Anchor to member: start the tasks behind a closed gate. */
struct gang_start {
  gang_id gang;
  int64_t lease_ms = 0;
};

struct gang_started {
  gang_id gang;
  bool started = false;
  std::string reason;
};

/** Anchor to member: the lease goes on; tasks may work once `open` is set. */
struct gang_renew {
  gang_id gang;
  int64_t lease_ms = 0;
  bool open = false;
};

struct gang_renewed {
  gang_id gang;
  bool working = false;  // the member's tasks are running
};

/** Anchor or planner: stop the gang; `checkpoint_ms` is the time allowed for a checkpoint. */
struct gang_stop {
  gang_id gang;
  int64_t checkpoint_ms = 0;
  std::string reason;
};

/** Member to anchor: the member's tasks have ended. */
struct gang_member_done {
  gang_id gang;
  bool success = false;
  std::string reason;
};

/** State of one start of a job as its anchor sees it. */
enum class gang_state {
  kArming,
  kStarting,
  kRunning,
  kStopping,
  kFinished,
  kFailed,
  kStopped,
  kBarred
};

std::string_view GangStateName(gang_state value);

/** Anchor to entries, repeated until acknowledged once it is final. */
struct gang_report {
  gang_id gang;
  gang_state state = gang_state::kArming;
  int64_t ran_ms = 0;         // time worked
  int64_t saved_ms = 0;       // of that, kept in a checkpoint
  std::string failed_worker;  // where a task failed
  std::string reason;
};

/** Entry to anchor: the final report is in the store. */
struct gang_report_ack {
  gang_id gang;
};

/** Asks an anchor what became of a commit. An unseen gang is barred by it. */
struct gang_query {
  gang_id gang;
};

/** One gang's part on a worker. */
struct held_gang {
  gang_id gang;
  resources amount;
};

/** Worker agent to entries: what it holds. Sent to each new entry and when it changes. */
struct worker_usage {
  std::vector<held_gang> held;
};

using peer_message =
    std::variant<hello, announce, slot_demand, slot_credit, agent_heartbeat, entry_heartbeat,
                 config_update, config_fetch, attempt, attempt_answer, resolve, attempt_done, claim,
                 claim_answer, reserve, reserve_answer, release, commit, gang_arm, gang_armed,
                 gang_start, gang_started, gang_renew, gang_renewed, gang_stop, gang_member_done,
                 gang_report, gang_report_ack, gang_query, worker_usage, worker_report,
                 worker_order, planner_notice, job_inquiry, job_reply, job_accepted,
                 open_starts_notice, open_starts_received, load_forecast>;

}  // namespace eelgrass
