/** \file
 * Calls to the row store and their answers, independent of their encoding.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <variant>

#include "kernel/base/millis.h"
#include "kernel/model/rows.h"

namespace eelgrass {

/** A call to the store. The answer carries the same token. */
struct store_request {
  int64_t token = 0;
  std::variant<row_transaction, row_range, row_feed> call;
  millis timeout{0};
};

/** The answer to a store_request. */
struct store_reply {
  int64_t token = 0;
  std::variant<transaction_result, rows_result> answer;
};

/** Timeout of one call; a slow store answers within 0.4 s. */
inline constexpr millis kStoreTimeout{900};

/** Longest wait of a feed's call: known data is at most this plus one call's duration old. */
inline constexpr millis kFeedWait{2000};

/** Between two tries of a call that the store refused or did not answer. */
inline constexpr millis kStoreRetryPause{150};

/** Bound for the value of a row if the deployment names none. */
inline constexpr size_t kDefaultRowBytes = 65536;

/** Tables of this product in the platform's store. All rows are in the part with the empty name. */
inline constexpr std::string_view kJobsTable = "jobs";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr std::string_view kTermTable = "term";
inline constexpr std::string_view kHolderKey = "planner";  // rewritten with every write
inline constexpr std::string_view kEpochKey = "epoch";     // rewritten by takeovers only
inline constexpr std::string_view kWorkersTable = "workers";
inline constexpr std::string_view kEntriesTable = "entries";
inline constexpr std::string_view kSpeedsTable = "speeds";

}  // namespace eelgrass
