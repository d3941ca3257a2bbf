/** \file
 * Calls to other HTTP servers: the interface of the client plug-ins.
 */
#pragma once

#include <functional>

#include "kernel/base/plugin_registry.h"
#include "kernel/io/http_messages.h"

namespace eelgrass {

/**
 * Sends calls and reports each result once. A kUnknown error means that the call may have had its
 * effect, any other that it was never sent; kRefused besides that nobody listened at the address,
 * or at the last one of a name. A response that says that nothing was done proves that only if it
 * is not marked as repeated.
 */
class http_client {
 public:
  using callback = std::function<void(result<http_response>)>;

  virtual ~http_client() = default;

  /** Begins a call. `done` runs on the client's thread, and must not block. */
  virtual void Start(http_call call, callback done) = 0;

  /** Ends calls in flight with errors and joins the thread. */
  virtual void Stop() = 0;
};

struct client_options {
  size_t ring_capacity = 1024;  // calls waiting to begin
  int max_connections = 64;     // for each host
};

using client_registry = plugin_registry<http_client, client_options>;

template <typename Implementation>
using client_registration =
    plugin_registration<client_registry, http_client, Implementation, client_options>;

}  // namespace eelgrass
