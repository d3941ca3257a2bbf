#include "standins/memory_table.h"

namespace eelgrass {

bool memory_table::Write(const std::vector<memory_write>& writes,
                         std::vector<memory_row>& conflicts) {
  for (const auto& write : writes) {
    const auto found = rows_.find(write.key);
    const int64_t revision = found == rows_.end() ? 0 : found->second.revision;
    if (revision == write.expected) continue;
    conflicts.push_back(found == rows_.end() ? memory_row{write.key, 0, {}} : found->second);
  }
  if (!conflicts.empty()) return false;
  ++revision_;
  for (const auto& write : writes) {
    memory_row& row = rows_[write.key];
    const auto old = by_revision_.find(row.revision);
    if (old != by_revision_.end()) old->second.erase(write.key);
    if (old != by_revision_.end() && old->second.empty()) by_revision_.erase(old);
    row = {write.key, revision_, write.value};
    by_revision_[revision_].insert(write.key);
  }
  return true;
}

std::vector<memory_row> memory_table::Changed(int64_t since, size_t limit) const {
  std::vector<memory_row> changed;
  for (auto item = by_revision_.upper_bound(since);
       item != by_revision_.end() && changed.size() < limit; ++item) {
    for (const auto& key : item->second) changed.push_back(rows_.find(key)->second);
  }
  return changed;
}

}  // namespace eelgrass
