/** \file
 * Calls to one worker and their outcomes.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** Renews the lease of all runs, acknowledges ends and requests the lists of runs and ends. */
struct hold_call {
  std::string address;
  worker_identity worker;
  int64_t fence = 0;
  int64_t seen_upto = 0;
  int64_t deadline_ms = 0;  // worker's clock; 0: the lease is unchanged
  millis wait{0};           // longest wait for a run's end
  millis sent{0};           // agent's clock
};

/** A start, stop or pace call is broken off this long after its sending. */
inline constexpr millis kCallTimeout{500};

/**
 * A call without an answer is carried out within this time of its sending, or never: the platform
 * carries calls out up to 12 s late, and a call that has not arrived in its time is broken off.
 */
inline constexpr millis kLatestExecution = millis(12000) + kCallTimeout;

/** Starts a run. */
struct start_call {
  std::string address;
  worker_identity worker;
  int64_t fence = 0;
  int64_t deadline_ms = 0;  // worker's clock
  wanted_run run;
};

/** Ends a run; if it has not begun, the worker rejects a later start of it. */
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

/** The outcome of a call to a worker. */
enum class call_outcome {
  kDone,
  kRefused,            // the worker answered that it was not done
  kNoAnswer,           // may have taken effect or still may
  kNeverSent,          // for any reason; proves nothing about the worker
  kConnectionRefused,  // not sent: the worker's machine refused the connection
  kOtherIncarnation,   // another incarnation of the worker answers at that address
};

struct hold_answer {
  worker_identity worker;  // to which the call was addressed
  int64_t fence = 0;       // of the call
  millis sent{0};          // send time of the call, agent's clock
  call_outcome outcome = call_outcome::kNoAnswer;
  int64_t born_ms = 0;  // of the incarnation that answered; 0: not stated
  int64_t clock_ms = 0;
  std::vector<listed_run> running;
  std::vector<listed_end> ended;
  bool more_ends = false;  // further ends wait until some of the listed ones are acknowledged
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

/** A worker's heartbeat with its profile. */
struct worker_heartbeat {
  worker_profile worker;
  int64_t sequence = 0;
  int64_t clock_ms = 0;  // worker's clock; 0: not stated
};

/** A worker's report that it is about to end. */
struct worker_departure {
  std::string id;
  int64_t born_ms = 0;  // 0: not stated
};

}  // namespace eelgrass
