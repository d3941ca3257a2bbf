#include "kernel/sharing/recent_ids.h"

namespace eelgrass {

bool recent_ids::Add(std::string_view id, millis now) {
  added_.insert_or_assign(std::string(id), now);
  in_order_.emplace_back(now, id);
  bool complete = true;
  while (in_order_.front().first + keep_ <= now || in_order_.size() > most_) {
    const auto& [at, oldest] = in_order_.front();
    const auto found = added_.find(oldest);
    if (found != added_.end() && found->second == at) {
      complete = complete && at + keep_ <= now;
      added_.erase(found);
    }
    in_order_.pop_front();
  }
  return complete;
}

bool recent_ids::Contains(std::string_view id, millis now) const {
  const auto found = added_.find(id);
  return found != added_.end() && now < found->second + keep_;
}

}  // namespace eelgrass
