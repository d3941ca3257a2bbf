#include "kernel/batch/entry_table_reader.h"

#include <algorithm>
#include <utility>

namespace eelgrass {

store_request entry_table_reader::NextCall() const {
  store_request request;
  request.call = row_range{std::string(kEntriesTable), "", from_};
  request.timeout = kStoreTimeout;
  return request;
}

entry_table_reader::state entry_table_reader::On(const rows_result& answer) {
  if (from_.empty()) reading_.clear();
  const bool done = answer.outcome == row_outcome::kDone;
  if (done) reading_.insert(reading_.end(), answer.rows.begin(), answer.rows.end());
  if (done && answer.more && !answer.rows.empty()) {
    // No key of an entry is continued with '!', so that this is the next key at the earliest.
    from_ = answer.rows.back().at.key + '!';
    return state::kMore;
  }
  from_.clear();
  if (!done) return state::kFailed;
  rows_ = std::exchange(reading_, {});
  std::stable_sort(rows_.begin(), rows_.end(),
                   [](const row& a, const row& b) { return a.revision > b.revision; });
  return state::kComplete;
}

std::vector<std::string> EntryAddresses(std::span<const row> rows) {
  std::vector<std::string> addresses;
  addresses.reserve(rows.size());
  for (const auto& found : rows) addresses.push_back(found.value);
  return addresses;
}

}  // namespace eelgrass
