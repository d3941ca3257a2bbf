/** \file
 * How one duty hands an event to another.
 */
#pragma once

namespace eelgrass {

/** The receiving end of a duty's bounded ring, as its producers see it. */
template <typename Event>
class event_sink {
 public:
  virtual ~event_sink() = default;

  /** False when the ring is full or closed; the event then stays with the caller. */
  virtual bool Offer(Event&& event) = 0;

  /** Waits for room. False when the ring is closed. */
  virtual bool Deliver(Event&& event) = 0;
};

}  // namespace eelgrass
