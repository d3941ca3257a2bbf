#include "standins/standin_rows.h"

#include <algorithm>

namespace eelgrass {
namespace {

/** Rows of one answer, by the platform's interface. */
constexpr size_t kMostRows = 500;

/** Limits of a transaction, by the platform's interface. */
constexpr size_t kMostEntries = 100;
constexpr size_t kRowBytes = 65536;
constexpr size_t kMostBytes = 1000000;

bool WithinLimits(const row_transaction& change) {
  size_t bytes = 0;
  for (const auto& write : change.writes) {
    if (write.value.size() > kRowBytes) return false;
    bytes += (write.value.size() + 2) / 3 * 4;  // base64
  }
  const size_t entries = change.conditions.size() + change.writes.size() + change.removals.size();
  return entries <= kMostEntries && bytes <= kMostBytes;
}

}  // namespace

transaction_result standin_rows::Apply(const row_transaction& change) {
  transaction_result answer;
  if (!WithinLimits(change)) {
    answer.outcome = row_outcome::kNotDone;
    return answer;
  }
  bool holds = true;
  for (const auto& condition : change.conditions) {
    const auto found = rows_.find(PlaceOf(condition.at));
    const bool there = found != rows_.end() && !found->second.deleted;
    holds = holds && (there ? found->second.revision : 0) == condition.revision;
    if (there) answer.current.push_back(found->second);
  }
  answer.revision = revision_;
  if (!holds) {
    answer.outcome = row_outcome::kConflict;
    return answer;
  }
  answer.current.clear();
  answer.revision = ++revision_;
  for (const auto& write : change.writes) {
    rows_[PlaceOf(write.at)] = {write.at, write.value, revision_, false};
    changed_[write.at.table] = revision_;
  }
  for (const auto& removal : change.removals) {
    const auto found = rows_.find(PlaceOf(removal));
    if (found == rows_.end()) continue;
    found->second = {removal, "", revision_, true};
    changed_[removal.table] = revision_;
  }
  answer.outcome = row_outcome::kDone;
  return answer;
}

rows_result standin_rows::Read(const row_range& range) const {
  rows_result answer;
  answer.outcome = row_outcome::kDone;
  answer.revision = revision_;
  for (auto at = rows_.lower_bound({range.table, range.part, range.from}); at != rows_.end();
       ++at) {
    const row& found = at->second;
    if (found.at.table != range.table || found.at.part != range.part) break;
    if (found.deleted) continue;
    if (answer.rows.size() == kMostRows) {
      answer.more = true;
      break;
    }
    answer.rows.push_back(found);
  }
  return answer;
}

rows_result standin_rows::Changes(std::string_view table, int64_t after) const {
  rows_result answer;
  answer.revision = revision_;
  if (after < history_from_) {
    answer.outcome = row_outcome::kHistoryGone;
    return answer;
  }
  answer.outcome = row_outcome::kDone;
  const auto changed = changed_.find(table);
  if (changed == changed_.end() || changed->second <= after) return answer;
  for (auto at = rows_.lower_bound({std::string(table), "", ""}); at != rows_.end(); ++at) {
    const row& found = at->second;
    if (found.at.table != table) break;
    if (found.revision > after) answer.rows.push_back(found);
  }
  std::sort(answer.rows.begin(), answer.rows.end(),
            [](const row& a, const row& b) { return a.revision < b.revision; });
  return answer;
}

}  // namespace eelgrass
