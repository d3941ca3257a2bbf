/** \file
 * Calls of the batch queues' callers and the answers to them.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "kernel/base/millis.h"
#include "kernel/model/batch_job.h"

namespace eelgrass {

enum class call_kind { kSubmit, kState, kCancel };

/** A call as decoded by the front. */
struct caller_call {
  uint64_t id = 0;  // id of the front's request
  call_kind kind = call_kind::kState;
  std::string host;
  std::string path;
  std::string key;               // empty: the caller sent none
  millis wait{0};                // how long the caller waits for the answer; 0: not stated
  std::optional<batch_job> job;  // submissions only; none: the body is malformed
  std::string problem;           // why the body is malformed
  int64_t body_bytes = 0;
};

enum class call_answer {
  kAccepted,
  kState,
  kWaiting,  // number of waiting jobs of a queue
  kCancelled,
  kNoSuchJob,
  kNoSuchQueue,
  kNoSuchKey,
  kMalformed,
  kTooLarge,
  kBusy,            // not done: too many jobs are waiting
  kUnavailable,     // not done: temporarily unavailable
  kOutcomeUnknown,  // may have taken effect
};

/** The answer's name in logs and metrics. */
std::string_view CallAnswerName(call_answer answer);

struct caller_reply {
  uint64_t id = 0;
  call_answer answer = call_answer::kUnavailable;
  batch_state state = batch_state::kPending;
  int64_t waiting = 0;
  millis retry_after{0};   // refusals only
  bool elsewhere = false;  // close the connection: another entry may succeed
  millis took{0};          // since the call arrived
  std::string detail{};
};

}  // namespace eelgrass
