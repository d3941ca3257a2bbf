/** \file
 * Reading of the store's table of entries.
 */
#pragma once

#include <span>
#include <string>
#include <vector>

#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/** Reads all rows of the table. The store bounds the rows of an answer, so it takes several calls.
 */
class entry_table_reader {
 public:
  enum class state { kMore, kComplete, kFailed };

  /** The call for the first rows, or after kMore for those that follow. */
  store_request NextCall() const;

  /** Handles an answer. After kComplete and kFailed the next call starts from the first row. */
  state On(const rows_result& answer);

  /** The rows of the last complete reading, the one that was written last first. */
  std::span<const row> rows() const { return rows_; }

 private:
  std::string from_;  // key at which the next call starts
  std::vector<row> reading_;
  std::vector<row> rows_;
};

/** The addresses in rows of the table, in their order. */
std::vector<std::string> EntryAddresses(std::span<const row> rows);

}  // namespace eelgrass
