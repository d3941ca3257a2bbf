/** \file
 * Queue of waiting requests, fair between organisations.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace eelgrass {

/**
 * Start-time fair queueing: each organisation has a queue of its own and a virtual time that moves
 * by 1/weight for each request taken. The organisation with the smallest virtual time is next, so
 * one that floods the entry delays itself only.
 */
class fair_queue {
 public:
  /** Adds a request at the end of its organisation's queue, or at its front when `retried`. */
  void Push(std::string_view organisation, int weight, uint64_t request, bool retried);

  /** Takes the next request; 0 when empty. */
  uint64_t Pop();

  /** Takes one particular request out. */
  void Remove(std::string_view organisation, uint64_t request);

  /** How many requests would be served before a new one of the organisation. */
  int CountAhead(std::string_view organisation, int weight) const;

  int size() const { return size_; }

 private:
  struct organisation_queue {
    std::deque<uint64_t> requests;
    double virtual_time = 0;
    int weight = 1;
  };

  std::map<std::string, organisation_queue, std::less<>> queues_;
  double virtual_now_ = 0;
  int size_ = 0;
};

}  // namespace eelgrass
