/** \file
 * The platform's row store in memory.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "kernel/model/rows.h"

namespace eelgrass {

/** Versioned rows with transactions and a history of changes. Knows no time and no faults. */
class standin_rows {
 public:
  /** Applies nothing of a transaction beyond the platform's limits: kNotDone. */
  transaction_result Apply(const row_transaction& change);
  rows_result Read(const row_range& range) const;

  /** What has changed in a table after a revision; kHistoryGone when that is not kept any more. */
  rows_result Changes(std::string_view table, int64_t after) const;

  /** Drops the history: only changes from now on can be followed. */
  void ForgetHistory() { history_from_ = revision_; }

  int64_t revision() const { return revision_; }

 private:
  using place = std::tuple<std::string, std::string, std::string>;  // table, part, key

  static place PlaceOf(const row_key& at) { return {at.table, at.part, at.key}; }

  int64_t revision_ = 0;
  int64_t history_from_ = 0;
  std::map<place, row> rows_;                            // dropped rows stay, marked as deleted
  std::map<std::string, int64_t, std::less<>> changed_;  // revision of the last change, by table
};

}  // namespace eelgrass
