#include "kernel/model/document.h"

#include <algorithm>

namespace eelgrass {
namespace {

template <typename Entry>
const Entry* FindByName(const std::vector<Entry>& entries, std::string_view name) {
  const auto found = std::find_if(entries.begin(), entries.end(),
                                  [name](const Entry& entry) { return entry.name == name; });
  return found == entries.end() ? nullptr : &*found;
}

}  // namespace

std::string_view AdjacencyName(adjacency value) {
  constexpr std::string_view kNames[] = {"worker", "rack", "domain", "region", "any"};
  return kNames[static_cast<int>(value)];
}

std::string_view UrgencyName(urgency value) {
  constexpr std::string_view kNames[] = {"urgent", "normal", "batch"};
  return kNames[static_cast<int>(value)];
}

std::string_view WindowModeName(window_mode value) {
  constexpr std::string_view kNames[] = {"drain", "move", "stop"};
  return kNames[static_cast<int>(value)];
}

const domain_entry* document::FindDomain(std::string_view name) const {
  return FindByName(domains, name);
}

const organisation* document::FindOrganisation(std::string_view name) const {
  return FindByName(organisations, name);
}

const job_class* document::FindJobClass(std::string_view name) const {
  return FindByName(job_classes, name);
}

const service_entry* document::FindService(std::string_view name) const {
  return FindByName(services, name);
}

bool document::IsOut(std::string_view domain, millis wall_now, window_mode* mode) const {
  const domain_entry* entry = FindDomain(domain);
  if (entry != nullptr && entry->out) {
    if (mode != nullptr) *mode = entry->out_mode;
    return true;
  }
  for (const auto& window : windows) {
    const bool inside = window.from_ms <= wall_now.count() && wall_now.count() < window.to_ms;
    if (window.domain != domain || !inside) continue;
    if (mode != nullptr) *mode = window.mode;
    return true;
  }
  return false;
}

millis document::NextWindow(std::string_view domain, millis wall_now) const {
  millis next = kFarFuture;
  for (const auto& window : windows) {
    const millis from(window.from_ms);
    if (window.domain == domain && from > wall_now) next = std::min(next, from);
  }
  return next;
}

}  // namespace eelgrass
