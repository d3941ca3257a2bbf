/** \file
 * Limits the share of retries in the traffic.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace eelgrass {

/** Retry budget of each organisation, to which every new request adds a fraction of a retry. */
class retry_budget {
 public:
  void CountRequest(std::string_view organisation);

  /** Takes one retry from the budget; false if none is left. */
  bool TakeRetry(std::string_view organisation);

 private:
  std::map<std::string, double, std::less<>> retries_left_;
};

}  // namespace eelgrass
