/** \file
 * Follows what operators write to the store.
 */
#pragma once

#include <optional>
#include <vector>

#include "kernel/batch/feed_wait_policy.h"
#include "kernel/batch/operator_source.h"
#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/**
 * Reads the operators' table once, then follows its changes, and knows up to when its knowledge is
 * certainly complete. A feed that has lost its history starts over with a whole read.
 */
class operator_follower {
 public:
  explicit operator_follower(const operator_source& source) : source_(source) {}

  /** The call to make now, if any. */
  std::optional<store_request> Next(millis now);

  /** Takes the answer to the last call. */
  void On(const rows_result& answer, millis now);

  /** Takes a newer configuration that came with another answer of the store. */
  void Adopt(const row& change, millis now);

  const operator_state& state() const { return state_; }

  /** Everything written before this instant is in state(). */
  millis confirmed() const { return confirmed_; }
  bool known() const { return state_.config != nullptr; }

  /** Rises with each change of state(). */
  int64_t changes() const { return changes_; }

 private:
  void Apply(const row& change, millis now);

  const operator_source& source_;
  operator_state state_;
  std::optional<int64_t> revision_;  // none: read the whole table first
  operator_state loading_;           // being read
  std::string resume_key_;
  feed_wait_policy wait_policy_;
  bool call_pending_ = false;
  millis sent_{0};
  millis next_{0};
  millis confirmed_{INT64_MIN / 4};
  int64_t changes_ = 0;
};

}  // namespace eelgrass
