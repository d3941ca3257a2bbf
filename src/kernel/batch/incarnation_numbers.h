/** \file
 * Numbers of workers' lives.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "kernel/model/worker_messages.h"

namespace eelgrass {

/**
 * Numbers the lives under each worker's id within a term, for their fences. A worker that is
 * forgotten keeps its count: calls to its last life may still be on their way.
 */
class incarnation_numbers {
 public:
  /** A new term: its fences are above all earlier ones. */
  void Reset() { latest_.clear(); }

  /** Lives under the id before this one. */
  int64_t Of(const worker_identity& worker);

 private:
  struct numbered_incarnation {
    int64_t born_ms = 0;
    int64_t number = 0;
  };

  std::map<std::string, numbered_incarnation, std::less<>> latest_;  // by the worker's id
};

}  // namespace eelgrass
