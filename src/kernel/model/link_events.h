/** \file
 * What the peer transport tells the duties, and what they ask of it.
 */
#pragma once

#include <cstdint>
#include <string>

#include "kernel/model/messages.h"

namespace eelgrass {

/** A peer has its first connection, or is a new incarnation. */
struct peer_up {
  hello peer;
};

/** One of several connections of a peer was abandoned; what was sent on it may be lost. */
struct lane_lost {
  std::string peer;
};

/** The last connection of a peer was lost. */
struct peer_down {
  std::string peer;
  int64_t incarnation = 0;
};

/** Nobody listens at an address that was dialled: the process there has ended. */
struct peer_refused {
  std::string address;  // IP:PORT
};

/** A peer said something. */
struct peer_said {
  std::string peer;
  peer_message message;
};

/** Asks the transport to send a message; it is dropped when the peer has no connection. */
struct send_to_peer {
  std::string peer;
  peer_message message;
};

/** Asks the transport to keep connections to an address. */
struct dial_peer {
  std::string address;  // IP:PORT
};

/** Asks the transport to give up its connections to an address. */
struct undial_peer {
  std::string address;  // IP:PORT
};

}  // namespace eelgrass
