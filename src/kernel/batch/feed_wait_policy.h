/** \file
 * How long the calls of a feed wait.
 */
#pragma once

#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/**
 * A feed's call waits at the store for a change, which bounds the age of what is known with few
 * calls. After a call that failed the next one does not wait: as soon as the store is back it
 * confirms what is known, where a quiet feed would only do so at the end of its wait.
 */
class feed_wait_policy {
 public:
  /** The wait of the call that is sent now. */
  millis NextWait() { return wait_ = failed_ ? millis(0) : kFeedWait; }

  /** Takes note of how that call ended. */
  void RecordOutcome(bool done) { failed_ = !done; }

  /** Until when an answer without changes confirms that there were none. */
  millis ConfirmedUntil(millis sent) const { return sent + wait_; }

 private:
  millis wait_{0};
  bool failed_ = false;
};

}  // namespace eelgrass
