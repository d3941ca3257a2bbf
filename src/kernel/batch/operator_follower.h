/** \file
 * Follows the operators' table in the store.
 */
#pragma once

#include <optional>
#include <vector>

#include "kernel/batch/feed_wait_policy.h"
#include "kernel/batch/operator_source.h"
#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/**
 * Reads the operators' table once, then follows its changes, and tracks up to which time its state
 * is certainly complete. If the feed has lost its history, the whole table is read again.
 */
class operator_follower {
 public:
  explicit operator_follower(const operator_source& source) : source_(source) {}

  /** The call that is due, if any. */
  std::optional<store_request> Next(millis now);

  /** Handles the answer to the last call. */
  void On(const rows_result& answer, millis now);

  /** Applies a newer configuration from the answer to another call. */
  void Adopt(const row& change, millis now);

  const operator_state& state() const { return state_; }

  /** state() includes everything that was written before this time. */
  millis confirmed() const { return confirmed_; }
  bool known() const { return state_.config != nullptr; }

  /** Version of the known configuration; 0 if there is none. */
  int64_t version() const;

  /** Number of calls that the store refused or did not answer. */
  int64_t failed_calls() const { return failed_calls_; }

  /** Number of changes of state(). */
  int64_t changes() const { return changes_; }

 private:
  void Apply(const row& change, millis now);
  static void LogRefused(const row& change, const error& problem);
  void LogAnswer(const rows_result& answer, millis now);

  const operator_source& source_;
  operator_state state_;
  std::optional<int64_t> revision_;  // none: the whole table has to be read
  operator_state loading_;           // filled while the whole table is read
  std::string resume_key_;
  feed_wait_policy wait_policy_;
  bool call_pending_ = false;
  millis sent_{0};
  millis next_{0};
  millis confirmed_{INT64_MIN / 4};
  int64_t changes_ = 0;
  int64_t failed_calls_ = 0;
  int failed_in_row_ = 0;
};

}  // namespace eelgrass
