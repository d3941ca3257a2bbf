/** \file
 * A caller's request and its answer, free of any front end's encoding.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/base/millis.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** A request as a front end hands it in. */
struct caller_request {
  uint64_t caller = 0;  // the front end's handle for the answer
  std::string organisation;
  std::string service;
  std::string method;
  std::string path;
  std::vector<header_field> headers;
  bytes body;
  millis deadline{0};  // time left; 0: the service's default
  bool idempotent = false;
  std::string key;  // caller's idempotency key, or empty
};

/** What a caller is told about its request. */
enum class request_outcome {
  kCompleted,  // The whole answer of the upstream.
  kNotRun,     // It did not run and will not.
  kUnknown,    // It may have run.
};

std::string_view OutcomeName(request_outcome value);

/** The answer to a caller. `problem` says why when the outcome is not kCompleted. */
struct caller_answer {
  uint64_t caller = 0;
  request_outcome outcome = request_outcome::kUnknown;
  int status = 0;  // HTTP status
  std::vector<header_field> headers;
  bytes body;
  error problem;
  std::string organisation;
  std::string service;
  millis latency{0};  // since the request came in
};

}  // namespace eelgrass
