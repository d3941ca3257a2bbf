/** \file
 * Versioned rows of the platform's store, and the calls about them.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Where a row is. All rows of one transaction share their part. */
struct row_key {
  std::string table;
  std::string part;
  std::string key;
  bool operator==(const row_key&) const = default;
};

/** A row as the store has it. */
struct row {
  row_key at;
  std::string value;     // opaque bytes
  int64_t revision = 0;  // of the transaction that wrote it
  bool deleted = false;  // in feeds only
};

/** A row that must have a revision; 0: it must not exist. */
struct row_condition {
  row_key at;
  int64_t revision = 0;
};

struct row_write {
  row_key at;
  std::string value;
};

/** Applied whole or not at all. */
struct row_transaction {
  std::vector<row_condition> conditions;
  std::vector<row_write> writes;
  std::vector<row_key> removals;
};

/** What became of a call to the store. */
enum class row_outcome {
  kDone,
  kConflict,     // a condition did not hold; nothing was done
  kNotDone,      // refused or never sent; nothing was done
  kUnknown,      // may have been done, or may still be
  kHistoryGone,  // feeds only: changes since then are no longer kept
};

/** Name of the outcome in logs. */
std::string_view RowOutcomeName(row_outcome outcome);

struct transaction_result {
  row_outcome outcome = row_outcome::kUnknown;
  int64_t revision = 0;      // newest of the store
  std::vector<row> current;  // kConflict: the rows of the conditions as they are
  millis store_now{0};       // the store's steady clock; 0: not said
  std::string detail;        // for logs
};

/** A range of keys of one table. */
struct row_range {
  std::string table;
  std::string part;
  std::string from;  // first key; empty: from the start
};

/** Rows of a table: a range of it, or what has changed in it. */
struct rows_result {
  row_outcome outcome = row_outcome::kUnknown;
  std::vector<row> rows;
  bool more = false;  // ranges only: continue behind the last key
  int64_t revision = 0;
  millis store_now{0};  // the store's steady clock; 0: not said
  std::string detail;
};

/** Changes of a table after a revision; the answer waits until there are some. */
struct row_feed {
  std::string table;
  int64_t after = 0;
  millis wait{0};
};

}  // namespace eelgrass
