#include "kernel/batch/entry_discovery.h"

#include <utility>

namespace eelgrass {

entry_discovery::entry_discovery(std::string node, std::string peer_address)
    : node_(std::move(node)), peer_address_(std::move(peer_address)) {}

std::optional<store_request> entry_discovery::Next(millis now) {
  if (call_pending_ || read_ || now < next_) return std::nullopt;
  call_pending_ = true;
  store_request request;
  request.timeout = kStoreTimeout;
  if (registered_) {
    request.call = row_range{std::string(kEntriesTable), "", ""};
  } else {
    row_transaction change;
    change.writes.push_back({{std::string(kEntriesTable), "", node_}, peer_address_});
    request.call = std::move(change);
  }
  return request;
}

std::vector<std::string> entry_discovery::On(const store_reply& reply, millis now) {
  call_pending_ = false;
  std::vector<std::string> others;
  if (const auto* written = std::get_if<transaction_result>(&reply.answer)) {
    registered_ = written->outcome == row_outcome::kDone;
    if (!registered_) next_ = now + kStoreRetryPause;
    return others;
  }
  const auto& rows = std::get<rows_result>(reply.answer);
  read_ = rows.outcome == row_outcome::kDone;
  if (!read_) next_ = now + kStoreRetryPause;
  for (const auto& found : rows.rows) {
    if (found.value != peer_address_) others.push_back(found.value);
  }
  return others;
}

}  // namespace eelgrass
