/** \file
 * A caller's request and its answer, independent of any front end's encoding.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/base/millis.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** A request as a front end passes it to the router. */
struct caller_request {
  uint64_t caller = 0;  // the front end's handle to match the answer
  std::string organisation;
  std::string service;
  std::string method;
  std::string path;
  std::vector<header_field> headers;
  bytes body;
  millis deadline{0};  // time left; 0 selects the service's default
  bool idempotent = false;
  std::string key;  // the caller's idempotency key; empty if there is none
};

/** The outcome of a request that is reported to its caller. */
enum class request_outcome {
  kCompleted,  // The upstream has answered completely.
  kNotRun,     // The request did not run and will not run.
  kUnknown,    // The request may have run.
};

std::string_view OutcomeName(request_outcome value);

/** The answer to a caller. `problem` holds the reason if the outcome is not kCompleted. */
struct caller_answer {
  uint64_t caller = 0;
  request_outcome outcome = request_outcome::kUnknown;
  int status = 0;  // HTTP status
  std::vector<header_field> headers;
  bytes body;
  error problem;
  std::string organisation;
  std::string service;
  millis latency{0};  // since the request arrived
};

}  // namespace eelgrass
