/** \file
 * When an incarnation of a worker was known to be alive.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

/**
 * The latest call that an incarnation answered itself. It was alive at some moment between the
 * sending of the call and the receipt of its answer, both by the agent's clock.
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

  /** Whether this incarnation was certainly alive after the other one's proof. */
  bool IsAfter(const liveness_proof& other) const {
    return known_ && (!other.known_ || sent_ > other.received_);
  }

 private:
  bool known_ = false;
  millis sent_{0};
  millis received_{0};
};

}  // namespace eelgrass
