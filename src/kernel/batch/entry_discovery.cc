#include "kernel/batch/entry_discovery.h"

#include <algorithm>
#include <utility>

#include "kernel/base/digest.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Between two readings. The last quarter differs between entries. */
constexpr millis kReadInterval{30000};

/** After a failed reading of a table that was read before. */
constexpr millis kReadRetryPause{5000};

/** A row is removed after this many readings: ten minutes. */
constexpr int kReadingsApart = 20;

/** Rows that one call removes; each takes two of the 100 parts of a transaction. */
constexpr size_t kRemovedAtOnce = 40;

/** Entries that are dialled together, and for how long, if the table lists more. */
constexpr size_t kDialledAtOnce = 64;
constexpr millis kDialTurn{3000};

}  // namespace

entry_discovery::entry_discovery(std::string node, std::string peer_address)
    : node_(std::move(node)), peer_address_(std::move(peer_address)) {}

void entry_discovery::OnDisconnected(std::string_view entry) {
  if (const auto found = connected_.find(entry); found != connected_.end()) connected_.erase(found);
}

std::optional<store_request> entry_discovery::NextCall(bool planning, millis now) {
  if (pending_ != call_kind::kNone) return std::nullopt;
  if (std::exchange(removal_due_, false) && planning) {
    if (auto removal = RemoveCall()) {
      pending_ = call_kind::kRemove;
      return removal;
    }
  }
  if (now < next_) return std::nullopt;
  if (!registered_) {
    pending_ = call_kind::kRegister;
    return RegisterCall();
  }
  pending_ = call_kind::kRead;
  return table_.NextCall();
}

store_request entry_discovery::RegisterCall() const {
  row_transaction change;
  change.writes.push_back({{std::string(kEntriesTable), "", node_}, peer_address_});
  store_request request;
  request.call = std::move(change);
  request.timeout = kStoreTimeout;
  return request;
}

/** The condition on its revision keeps the row of an entry that has written it again. */
std::optional<store_request> entry_discovery::RemoveCall() const {
  row_transaction change;
  for (const auto& [id, other] : others_) {
    if (other.readings_apart < kReadingsApart || connected_.contains(id)) continue;
    const row_key at{std::string(kEntriesTable), "", id};
    change.conditions.push_back({at, other.revision});
    change.removals.push_back(at);
    log_event("entry-gone").With("entry", id).With("address", other.address);
    if (change.removals.size() == kRemovedAtOnce) break;
  }
  if (change.removals.empty()) return std::nullopt;
  store_request request;
  request.call = std::move(change);
  request.timeout = kStoreTimeout;
  return request;
}

void entry_discovery::On(const store_reply& reply, millis now) {
  const call_kind kind = std::exchange(pending_, call_kind::kNone);
  if (kind == call_kind::kRead) return OnRead(std::get<rows_result>(reply.answer), now);
  const auto& written = std::get<transaction_result>(reply.answer);
  if (kind == call_kind::kRegister) {
    registered_ = written.outcome == row_outcome::kDone;
    next_ = registered_ ? now : now + kStoreRetryPause;
  }
}

void entry_discovery::OnRead(const rows_result& answer, millis now) {
  const auto state = table_.On(answer);
  if (state == entry_table_reader::state::kMore) return;
  if (state == entry_table_reader::state::kFailed) {
    next_ = now + (read_ ? kReadRetryPause : kStoreRetryPause);
    return;
  }
  read_ = true;
  UpdateTable(now);
}

void entry_discovery::UpdateTable(millis now) {
  const uint64_t spread = Sha256Prefix(node_) % static_cast<uint64_t>(kReadInterval.count() / 4);
  next_ = now + kReadInterval - millis(static_cast<int64_t>(spread));
  registered_ = false;
  std::map<std::string, listed_entry> others;
  order_.clear();
  for (const auto& found : table_.rows()) {
    const std::string& id = found.at.key;
    if (id == node_) {
      registered_ = found.value == peer_address_;
      continue;
    }
    listed_entry other{found.value, found.revision, 0};
    const auto known = others_.find(id);
    const bool same = known != others_.end() && known->second.revision == found.revision;
    if (same && !connected_.contains(id)) other.readings_apart = known->second.readings_apart + 1;
    others.emplace(id, std::move(other));
    order_.push_back(id);
  }
  others_ = std::move(others);
  removal_due_ = true;
  links_due_ = true;
  if (registered_) return;
  next_ = now;
  log_event("entry-row-missing", log_level::kWarning).With("address", peer_address_);
}

/** Whether an entry is dialled. Its `place` is the one in the order. */
bool entry_discovery::Wanted(const std::string& entry, size_t place) const {
  if (order_.size() <= kDialledAtOnce || connected_.contains(entry)) return true;
  return place >= turn_from_ && place < turn_from_ + kDialledAtOnce;
}

link_changes entry_discovery::NextLinks(millis now) {
  link_changes changes;
  const bool turn = order_.size() > kDialledAtOnce && now >= next_turn_;
  if (!turn && !std::exchange(links_due_, false)) return changes;
  if (turn) {
    if (next_turn_ > millis(0)) turn_from_ += kDialledAtOnce;
    if (turn_from_ >= order_.size()) turn_from_ = 0;
    next_turn_ = now + kDialTurn;
  }
  std::map<std::string, std::string> wanted;
  for (size_t place = 0; place < order_.size(); ++place) {
    const std::string& id = order_[place];
    if (Wanted(id, place)) wanted.emplace(others_.at(id).address, id);
  }
  for (const auto& [address, id] : wanted) {
    if (dialled_.emplace(address, id).second) changes.dial.push_back(address);
  }
  std::erase_if(dialled_, [&](const auto& dialled) {
    const bool keep = wanted.contains(dialled.first) || connected_.contains(dialled.second);
    if (!keep) changes.undial.push_back(dialled.first);
    return !keep;
  });
  return changes;
}

}  // namespace eelgrass
