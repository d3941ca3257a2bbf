/** \file
 * Faults that a stand-in is told to show.
 */
#pragma once

#include <mutex>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"

namespace eelgrass {

/** What goes wrong at the moment. */
struct fault_state {
  bool down = false;          // refuses everything
  bool lose_answers = false;  // takes effect, but does not answer
  millis delay{0};            // before each answer
};

/** Shared between the control path and the stand-in. */
class fault_switch {
 public:
  fault_state state() const {
    std::lock_guard lock(mutex_);
    return state_;
  }

  /** Sets faults from a query string such as "down=1&delay_ms=5000"; what is not named ends. */
  void Set(std::string_view query);

 private:
  mutable std::mutex mutex_;
  fault_state state_;
};

}  // namespace eelgrass
