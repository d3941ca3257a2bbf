/** \file
 * Calls to one worker and what comes of them, as the agent decides on them.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** Renews the lease of all that runs, notes ends, and asks for both lists. */
struct hold_call {
  std::string address;
  worker_identity worker;
  int64_t fence = 0;
  int64_t seen_upto = 0;
  int64_t deadline_ms = 0;  // worker's clock; 0: leaves the lease as it is
  millis wait{0};           // for an end
  millis sent{0};           // agent's clock
};

/** Asks a worker to begin a run. */
struct start_call {
  std::string address;
  worker_identity worker;
  int64_t fence = 0;
  int64_t deadline_ms = 0;  // worker's clock
  wanted_run run;
};

/** Asks a worker to end a run, which bars it if it has not begun. */
struct stop_call {
  std::string address;
  worker_identity worker;
  int64_t fence = 0;
  run_ref run;
};

/** Sets the share at which a run may work. */
struct pace_call {
  std::string address;
  worker_identity worker;
  int64_t fence = 0;
  run_ref run;
  int64_t percent = 100;
};

/** What became of a call to a worker. */
enum class call_outcome {
  kDone,
  kRefused,        // answered: not done
  kNoAnswer,       // may have been done, or may still be
  kNeverSent,      // for whatever reason: proves nothing
  kNobodyListens,  // never sent: the worker's machine refused the connection
  kOtherLife,      // another life of the worker answers at that address
};

struct hold_answer {
  worker_identity worker;  // that was meant
  int64_t fence = 0;       // of the call
  millis sent{0};          // the call, agent's clock
  call_outcome outcome = call_outcome::kNoAnswer;
  int64_t born_ms = 0;  // of the life that answered; 0: not said
  int64_t clock_ms = 0;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
};

struct start_answer {
  worker_identity worker;
  run_ref run;
  int64_t fence = 0;
  call_outcome outcome = call_outcome::kNoAnswer;
  start_refusal refusal = start_refusal::kRoom;  // kRefused only
};

struct stop_answer {
  worker_identity worker;
  run_ref run;
  int64_t fence = 0;
  call_outcome outcome = call_outcome::kNoAnswer;
};

struct pace_answer {
  worker_identity worker;
  run_ref run;
  int64_t percent = 100;
  call_outcome outcome = call_outcome::kNoAnswer;
};

/** A worker's own report about itself. */
struct worker_heartbeat {
  worker_profile worker;
  int64_t sequence = 0;
  int64_t clock_ms = 0;  // worker's clock; 0: not said
};

/** A worker says that it leaves for good. */
struct worker_departure {
  std::string id;
  int64_t born_ms = 0;  // 0: not said
};

}  // namespace eelgrass
