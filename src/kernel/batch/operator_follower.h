/** \file
 * Follows the operators' table in the store.
 */
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "kernel/batch/feed_wait_policy.h"
#include "kernel/batch/operator_source.h"
#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/**
 * Reads the operators' table once, then follows its changes, and tracks up to which time its state
 * is certainly complete. If the feed has lost its history, the whole table is read again. While a
 * call of the feed waits for changes, or gets no answer, a second call can confirm the state.
 */
class operator_follower {
 public:
  /** `bound`: a change must be known after this time, which limits the waits of the feed. */
  operator_follower(const operator_source& source, millis bound)
      : source_(source), wait_policy_(std::min(bound, kFeedWait)) {}

  /** The call that is due, if any. */
  std::optional<store_request> Next(millis now);

  /** Handles the answer to the last call. */
  void On(const rows_result& answer, millis now);

  /** Asks for a confirmation of the state as it is now or later. */
  void RequestConfirmation(millis now);

  /** The call that confirms the state, if one was requested and no other call will do it. */
  std::optional<store_request> NextConfirmation(millis now);

  /** Handles the answer to that call. */
  void OnConfirmation(const rows_result& answer, millis now);

  /** Applies a newer configuration from the answer to another call, which was sent at `sent`. */
  void Adopt(const row& change, millis sent, millis now);

  /** A call that was sent at `sent` has shown that this is the configuration's revision. */
  void ConfirmConfig(int64_t revision, millis sent);

  const operator_state& state() const { return state_; }

  /** state() includes everything that was written before this time. */
  millis confirmed() const { return confirmed_; }

  /** state() has the configuration that was in force at this time, or a newer one. */
  millis config_confirmed() const { return std::max(config_confirmed_, confirmed_); }

  /** When the last one of the calls was sent that the store refused or did not answer. */
  millis failed_call_sent() const { return failed_call_sent_; }

  /** Whether the last answer to a call was a failure. */
  bool failing() const { return failed_in_row_ > 0; }

  /** Whether state() has the newest configuration that was seen: a newer one could not be read. */
  bool config_readable() const { return unread_config_revision_ <= state_.config_revision; }

  bool known() const { return state_.config != nullptr; }

  /** Version of the known configuration; 0 if there is none. */
  int64_t version() const;

  /** Number of calls that the store refused or did not answer. */
  int64_t failed_calls() const { return failed_calls_; }

  /** Number of changes of state(). */
  int64_t changes() const { return changes_; }

 private:
  void Reread(millis now);
  void ApplyChanges(const rows_result& answer, millis now);
  void Apply(const row& change, millis now);
  void Settle(millis sent);
  void NoteRefused(const row& change, const error& problem);
  void RecordAnswer(const rows_result& answer, millis sent, millis now);

  const operator_source& source_;
  operator_state state_;
  std::optional<int64_t> revision_;  // none: the whole table has to be read
  operator_state loading_;           // filled while the whole table is read
  int64_t loading_revision_ = 0;     // of its first page
  millis loading_sent_{0};
  std::string resume_key_;
  feed_wait_policy wait_policy_;
  bool call_pending_ = false;
  millis sent_{0};
  millis next_{0};
  millis confirmed_{INT64_MIN / 4};
  millis config_confirmed_{INT64_MIN / 4};
  int64_t unread_config_revision_ = 0;  // the newest one that could not be read
  std::optional<millis> wanted_since_;  // a confirmation of the state at this time or later
  bool confirmation_pending_ = false;
  millis confirmation_sent_{0};
  millis failed_call_sent_{INT64_MIN / 4};
  int64_t changes_ = 0;
  int64_t failed_calls_ = 0;
  int failed_in_row_ = 0;
};

}  // namespace eelgrass
