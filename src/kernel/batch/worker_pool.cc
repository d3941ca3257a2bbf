#include "kernel/batch/worker_pool.h"

#include <algorithm>

namespace eelgrass {
amounts pool_worker::FutureCapacity() const {
  amounts free = profile.capacity;
  for (const auto& [ref, record] : runs) {
    if (record.phase != run_phase::kStopping) free -= record.each;
  }
  return free;
}

amounts pool_worker::PresentCapacity() const {
  amounts free = profile.capacity;
  for (const auto& [ref, record] : runs) {
    if (record.phase != run_phase::kHeld) free -= record.each;
  }
  return free;
}

bool pool_worker::HasLabel(std::string_view label) const {
  return std::find(profile.labels.begin(), profile.labels.end(), label) != profile.labels.end();
}

pool_worker* worker_pool::Find(std::string_view id) {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

const pool_worker* worker_pool::Find(std::string_view id) const {
  const auto found = workers_.find(id);
  return found == workers_.end() ? nullptr : &found->second;
}

void worker_pool::Erase(std::string_view id) {
  const auto found = workers_.find(id);
  if (found != workers_.end()) workers_.erase(found);
}

bool worker_pool::MayStillStart(const unit_ref& unit, const batch_step& step, millis now) const {
  const auto open = starts_.Of(unit, step, now);
  return std::any_of(open.begin(), open.end(), [this](const task_at_worker& start) {
    const auto found = workers_.find(start.worker);
    return found == workers_.end() || !found->second.linked || !found->second.listing;
  });
}

}  // namespace eelgrass
