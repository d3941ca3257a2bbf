/** \file
 * Connections between the system's own processes: the interface of the transport plug-ins.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "kernel/base/clock.h"
#include "kernel/base/plugin_registry.h"
#include "kernel/io/peer_codec.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

using link_event = std::variant<peer_up, lane_lost, peer_down, peer_refused, peer_said>;

/** Receives what happens on the connections, on the transport's thread. */
class link_listener {
 public:
  virtual ~link_listener() = default;
  virtual void OnLink(link_event event) = 0;
};

/** What a transport needs to know. */
struct hub_options {
  hello self;
  std::string listen;           // IP:PORT to accept on; empty: dial only
  std::string shared_key;       // authenticates the processes to each other
  size_t ring_capacity = 8192;  // messages waiting to be sent
};

/** Traffic of a transport since its start. */
struct hub_stats {
  uint64_t bytes_in = 0;
  uint64_t bytes_out = 0;
  uint64_t frames_in = 0;
  uint64_t frames_out = 0;
  uint64_t lanes_lost = 0;
  uint64_t refused_peers = 0;
  uint64_t dropped_sends = 0;  // no connection, or the ring was full
};

/**
 * Keeps several connections ("lanes") to each peer, notices the ones that have gone silent and
 * replaces them. Messages to one peer may overtake each other when a lane is lost.
 */
class peer_hub {
 public:
  virtual ~peer_hub() = default;

  /** Starts the thread; fails when the listening address cannot be had. */
  virtual result<void> Start(link_listener& listener) = 0;

  /** The port in use, when the setting was port 0. */
  virtual int port() const = 0;

  /** Keeps lanes to an address until the process ends or Undial is called. */
  virtual void Dial(std::string_view address) = 0;
  virtual void Undial(std::string_view address) = 0;

  /** Sends on the lane that was heard last. False when the message cannot be queued. */
  virtual bool Send(std::string_view peer, const peer_message& message) = 0;

  /** Sends what is queued, then closes everything and joins the thread. */
  virtual void Stop() = 0;

  virtual hub_stats stats() const = 0;
};

using hub_registry = plugin_registry<peer_hub, hub_options, const peer_codec&, const clock&>;

template <typename Implementation>
using hub_registration = plugin_registration<hub_registry, peer_hub, Implementation, hub_options,
                                             const peer_codec&, const clock&>;

}  // namespace eelgrass
