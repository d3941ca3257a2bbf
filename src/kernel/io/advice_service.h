/** \file
 * The service that says which workers may run a step: the interface of its plug-ins.
 */
#pragma once

#include <functional>
#include <string>

#include "kernel/advice/advice_messages.h"
#include "kernel/base/plugin_registry.h"
#include "kernel/io/http_client.h"

namespace eelgrass {

/** Every call is answered once, on the client's thread. */
class advice_service {
 public:
  virtual ~advice_service() = default;
  virtual void Ask(const advice_request& request, std::function<void(advice_reply)> done) = 0;
};

struct advice_options {
  std::string address;  // IP:PORT; empty: there is no such service
};

using advice_registry = plugin_registry<advice_service, advice_options, http_client&>;

template <typename Implementation>
using advice_registration = plugin_registration<advice_registry, advice_service, Implementation,
                                                advice_options, http_client&>;

}  // namespace eelgrass
