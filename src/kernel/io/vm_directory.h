/** \file
 * The platform's list of VMs: the interface of its plug-ins.
 */
#pragma once

#include <functional>
#include <string>

#include "kernel/base/plugin_registry.h"
#include "kernel/io/http_client.h"
#include "kernel/model/vm_listing.h"

namespace eelgrass {

/** Every request is answered once, on the client's thread. */
class vm_directory {
 public:
  virtual ~vm_directory() = default;
  virtual void List(const vm_listing_request& request, std::function<void(vm_listing)> done) = 0;
};

struct vm_directory_options {
  std::string address;  // IP:PORT; empty: the platform has no such list
};

using vm_directory_registry = plugin_registry<vm_directory, vm_directory_options, http_client&>;

template <typename Implementation>
using vm_directory_registration =
    plugin_registration<vm_directory_registry, vm_directory, Implementation, vm_directory_options,
                        http_client&>;

}  // namespace eelgrass
