#include "kernel/model/batch_config.h"

#include <algorithm>

namespace eelgrass {
namespace {

template <typename Entry>
const Entry* FindByName(const std::vector<Entry>& entries, std::string_view name) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [&](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

const batch_queue* batch_config::FindQueue(std::string_view host, std::string_view path) const {
  const batch_queue* best = nullptr;
  for (const auto& queue : queues) {
    if (queue.host != host || !path.starts_with(queue.path_prefix)) continue;
    if (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()) best = &queue;
  }
  return best;
}

const batch_queue* batch_config::FindQueueByName(std::string_view name) const {
  return FindByName(queues, name);
}

const batch_organisation* batch_config::FindKey(std::string_view key) const {
  for (const auto& owner : organisations) {
    if (owner.keys.contains(key)) return &owner;
  }
  return nullptr;
}

const batch_organisation* batch_config::FindOrganisation(std::string_view name) const {
  return FindByName(organisations, name);
}

const worker_service* batch_config::FindService(std::string_view name) const {
  return FindByName(services, name);
}

}  // namespace eelgrass
