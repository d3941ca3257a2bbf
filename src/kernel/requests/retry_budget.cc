#include "kernel/requests/retry_budget.h"

#include <algorithm>

namespace eelgrass {
namespace {
constexpr double kRetriesPerFresh = 0.1;
constexpr double kMaxRetriesSaved = 10;
constexpr double kFirstRetries = 3;
}  // namespace

void retry_budget::AddFresh(std::string_view organisation) {
  const auto [slot, added] = retries_left_.try_emplace(std::string(organisation), kFirstRetries);
  slot->second = std::min(kMaxRetriesSaved, slot->second + kRetriesPerFresh);
}

bool retry_budget::TakeRetry(std::string_view organisation) {
  const auto found = retries_left_.find(organisation);
  if (found == retries_left_.end() || found->second < 1) return false;
  found->second -= 1;
  return true;
}

}  // namespace eelgrass
