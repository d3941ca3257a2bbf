/** \file
 * Calls to the row store and their answers, as the deciding code sees them.
 */
#pragma once

#include <cstdint>
#include <variant>

#include "kernel/base/millis.h"
#include "kernel/model/rows.h"

namespace eelgrass {

/** A call to the store. The token comes back with the answer. */
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

/** Longest time that one call may take; the store answers within 0.4 s when it is slow. */
inline constexpr millis kStoreTimeout{900};

/** Longest wait of a feed: what is known is at most this and one call's time old. */
inline constexpr millis kFeedWait{2000};

/** Between two tries of a call that the store refused or left unanswered. */
inline constexpr millis kStoreRetryPause{150};

/** Tables of the product in the platform's store. All rows are in the empty part. */
inline constexpr std::string_view kJobsTable = "jobs";
inline constexpr std::string_view kProgressTable = "progress";
inline constexpr std::string_view kTermTable = "term";
inline constexpr std::string_view kHolderKey = "planner";  // rewritten with every write
inline constexpr std::string_view kEpochKey = "epoch";     // rewritten by takeovers only
inline constexpr std::string_view kWorkersTable = "workers";
inline constexpr std::string_view kEntriesTable = "entries";

}  // namespace eelgrass
