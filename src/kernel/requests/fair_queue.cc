#include "kernel/requests/fair_queue.h"

#include <algorithm>

namespace eelgrass {

void fair_queue::Push(std::string_view organisation, int weight, uint64_t request, bool retried) {
  organisation_queue& target = queues_[std::string(organisation)];
  target.weight = std::max(1, weight);
  if (target.requests.empty()) {
    target.virtual_time = std::max(target.virtual_time, virtual_now_);
  }
  if (retried) {
    target.requests.push_front(request);
  } else {
    target.requests.push_back(request);
  }
  ++size_;
}

uint64_t fair_queue::Pop() {
  organisation_queue* next = nullptr;
  for (auto& [name, candidate] : queues_) {
    if (candidate.requests.empty()) continue;
    if (next == nullptr || candidate.virtual_time < next->virtual_time) next = &candidate;
  }
  if (next == nullptr) return 0;
  const uint64_t request = next->requests.front();
  next->requests.pop_front();
  virtual_now_ = next->virtual_time;
  next->virtual_time += 1.0 / next->weight;
  --size_;
  return request;
}

void fair_queue::Remove(std::string_view organisation, uint64_t request) {
  const auto found = queues_.find(organisation);
  if (found == queues_.end()) return;
  auto& requests = found->second.requests;
  const auto position = std::find(requests.begin(), requests.end(), request);
  if (position == requests.end()) return;
  requests.erase(position);
  --size_;
}

int fair_queue::CountAhead(std::string_view organisation, int weight) const {
  double start = virtual_now_;
  const auto own = queues_.find(organisation);
  if (own != queues_.end() && !own->second.requests.empty()) {
    start = own->second.virtual_time +
            static_cast<double>(own->second.requests.size()) / std::max(1, weight);
  }
  int ahead = 0;
  for (const auto& [name, other] : queues_) {
    const double lead = (start - other.virtual_time) * other.weight + 1;
    const int served = std::max(0, static_cast<int>(lead));
    ahead += std::min(static_cast<int>(other.requests.size()), served);
  }
  return ahead;
}

}  // namespace eelgrass
