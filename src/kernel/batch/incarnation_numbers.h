/** \file
 * Numbers the incarnations of workers.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "kernel/model/worker_messages.h"

namespace eelgrass {

/**
 * Numbers the incarnations of each worker id within a term, for their fences. A worker that is
 * removed keeps its count, because calls to its last incarnation may still be in transit.
 */
class incarnation_numbers {
 public:
  /** Restarts the numbering for a new term, whose fences are above all earlier ones. */
  void Reset() { latest_.clear(); }

  /** Number of earlier incarnations of the worker's id; registers a new incarnation. */
  int64_t Of(const worker_identity& worker);

  /** Raises the number of the worker's latest incarnation to one that its agent has used. */
  void Raise(const worker_identity& worker, int64_t number);

 private:
  struct numbered_incarnation {
    int64_t born_ms = 0;
    int64_t number = 0;
  };

  std::map<std::string, numbered_incarnation, std::less<>> latest_;  // by the worker's id
};

}  // namespace eelgrass
