#include "kernel/batch/incarnation_numbers.h"

#include <algorithm>

namespace eelgrass {

int64_t incarnation_numbers::Of(const worker_identity& worker) {
  const auto [found, first] =
      latest_.try_emplace(worker.id, numbered_incarnation{worker.born_ms, 0});
  numbered_incarnation& latest = found->second;
  if (latest.born_ms != worker.born_ms) latest = {worker.born_ms, latest.number + 1};
  return latest.number;
}

void incarnation_numbers::Raise(const worker_identity& worker, int64_t number) {
  const int64_t known = Of(worker);
  latest_[worker.id].number = std::max(known, number);
}

}  // namespace eelgrass
