/** \file
 * How long a feed's calls wait for changes.
 */
#pragma once

#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/**
 * A feed's call waits at the store for a change, which bounds the age of known data with few calls.
 * The call after a failed one does not wait: it confirms the known data as soon as the store is
 * available, whereas a waiting call without changes would do so only at the end of its wait.
 */
class feed_wait_policy {
 public:
  explicit feed_wait_policy(millis longest = kFeedWait) : longest_(longest) {}

  /** Sets and returns the wait of the call that is sent now. */
  millis NextWait() { return wait_ = failed_ ? millis(0) : longest_; }

  /** Sets and returns no wait, for a call that is to confirm the known data. */
  millis NoWait() { return wait_ = millis(0); }

  /** The wait of the last call. */
  millis wait() const { return wait_; }

  /** Records whether that call succeeded. */
  void RecordOutcome(bool done) { failed_ = !done; }

  /**
   * The time up to which an answer without changes confirms that there were none. An answer that
   * comes before the wait is over does not show how long the store has waited.
   */
  millis ConfirmedUntil(millis sent, millis answered) const {
    return answered - sent >= wait_ ? sent + wait_ : sent;
  }

 private:
  millis longest_;
  millis wait_{0};
  bool failed_ = false;
};

}  // namespace eelgrass
