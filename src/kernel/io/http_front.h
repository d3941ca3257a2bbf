/** \file
 * Where HTTP requests come in: the interface of the front plug-ins.
 */
#pragma once

#include <cstdint>
#include <string>

#include "kernel/base/plugin_registry.h"
#include "kernel/io/http_messages.h"

namespace eelgrass {

/** Takes requests on the front's thread; must not block. */
class http_handler {
 public:
  virtual ~http_handler() = default;
  virtual void Handle(http_request request) = 0;
};

struct front_options {
  std::string listen;          // IP:PORT
  int64_t max_body = 4 << 20;  // bytes; a larger body ends the connection
  int max_connections = 4096;
  millis read_timeout{30000};  // for one whole request
};

/** An HTTP server that hands whole requests to a handler. */
class http_front {
 public:
  virtual ~http_front() = default;

  /** Starts serving on a thread of its own; fails when the address cannot be had. */
  virtual result<void> Start(http_handler& handler) = 0;
  virtual int port() const = 0;

  /** Answers a request once, from any thread. Unknown ids are ignored. */
  virtual void Respond(uint64_t id, http_response response) = 0;

  /** Requests that have not been answered yet. */
  virtual size_t open_requests() const = 0;
  virtual void Stop() = 0;
};

using front_registry = plugin_registry<http_front, front_options>;

template <typename Implementation>
using front_registration =
    plugin_registration<front_registry, http_front, Implementation, front_options>;

}  // namespace eelgrass
