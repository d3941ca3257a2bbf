#include "kernel/requests/retry_budget.h"

#include <algorithm>

namespace eelgrass {
namespace {
constexpr double kRetriesPerRequest = 0.1;
constexpr double kMaxRetries = 10;
constexpr double kInitialRetries = 3;
}  // namespace

void retry_budget::CountRequest(std::string_view organisation) {
  const auto [entry, added] = retries_left_.try_emplace(std::string(organisation), kInitialRetries);
  entry->second = std::min(kMaxRetries, entry->second + kRetriesPerRequest);
}

bool retry_budget::TakeRetry(std::string_view organisation) {
  const auto found = retries_left_.find(organisation);
  if (found == retries_left_.end() || found->second < 1) return false;
  found->second -= 1;
  return true;
}

}  // namespace eelgrass
