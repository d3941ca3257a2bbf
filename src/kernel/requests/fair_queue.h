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
 * Start-time fair queueing: each organisation has its own queue and a virtual time that advances by
 * 1/weight for each request taken. The organisation with the smallest virtual time is served next,
 * so an organisation that floods the entry delays only its own requests.
 */
class fair_queue {
 public:
  /** Adds a request at the end of its organisation's queue, or at its front when `retried`. */
  void Push(std::string_view organisation, int weight, uint64_t request, bool retried);

  /** Removes and returns the next request; 0 if there is none. */
  uint64_t Pop();

  /** Removes the given request if it is queued. */
  void Remove(std::string_view organisation, uint64_t request);

  /** Number of requests that would be served before a new one of the organisation. */
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
