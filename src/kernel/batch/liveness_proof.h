/** \file
 * When a life of a worker is known to have lived.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * The latest call that a life answered itself: it lived at some moment between the sending of the
 * call and the receipt of its answer, both by the agent's clock.
 */
class liveness_proof {
 public:
  void Record(millis sent, millis received) {
    known_ = true;
    sent_ = sent;
    received_ = received;
  }
  bool known() const { return known_; }
  millis sent() const { return sent_; }
  millis received() const { return received_; }

  /** Whether this life certainly lived after all that is known of the other one. */
  bool IsAfter(const liveness_proof& other) const {
    return known_ && (!other.known_ || sent_ > other.received_);
  }

 private:
  bool known_ = false;
  millis sent_{0};
  millis received_{0};
};

}  // namespace eelgrass
