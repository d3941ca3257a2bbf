/** \file
 * An upstream service that only pretends to work.
 */
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "kernel/io/http_messages.h"

namespace eelgrass {

/** One request as an upstream has run it. */
struct execution {
  std::string upstream;
  std::string request;  // the caller's own id, from X-Request-Id
  std::string attempt;
  bool finished = false;
};

/**
 * Notes each execution, the highest number at a time for each upstream, and answers with the
 * caller's own id, so that answers that were swapped can be told.
 */
class standin_service {
 public:
  /** Begins a request; how long it takes comes from the path /work/MILLISECONDS. */
  size_t Begin(const std::string& upstream, const http_request& request, millis& duration);

  /** Ends a request and makes its response. */
  http_response End(size_t index);

  std::vector<execution> executions() const;
  std::map<std::string, int> most_at_once() const;

 private:
  mutable std::mutex mutex_;
  std::vector<execution> executions_;
  std::map<std::string, int> running_;
  std::map<std::string, int> most_;
};

}  // namespace eelgrass
