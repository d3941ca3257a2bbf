/** \file
 * What a duty does with its events.
 */
#pragma once

#include <span>

#include "kernel/base/millis.h"

namespace eelgrass {

/** The work of one duty. All calls come from the duty's own thread. */
template <typename Event>
class duty_handler {
 public:
  virtual ~duty_handler() = default;

  /** Handles a batch of events; called with an empty batch when the tick is due. */
  virtual void Handle(std::span<Event> events, millis now) = 0;
};

}  // namespace eelgrass
