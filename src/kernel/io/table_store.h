/** \file
 * The platform's table service: the interface of the store plug-ins.
 */
#pragma once

#include <string>

#include "kernel/base/plugin_registry.h"
#include "kernel/io/http_client.h"
#include "kernel/records/records.h"

namespace eelgrass {

/** Receives answers of the store, on the store's thread. */
class store_listener {
 public:
  virtual ~store_listener() = default;
  virtual void OnStore(store_answer answer) = 0;
};

/**
 * Conditional writes and scans. Every call is answered once; calls in flight are bounded and each
 * has a deadline, so that a slow service cannot pile up work.
 */
class table_store {
 public:
  virtual ~table_store() = default;
  virtual void Submit(store_call call, store_listener& listener) = 0;
};

struct store_options {
  std::string url;         // of the platform's service
  millis timeout{2000};    // of a call
  int max_in_flight = 32;  // calls
};

using store_registry = plugin_registry<table_store, store_options, http_client&>;

template <typename Implementation>
using store_registration =
    plugin_registration<store_registry, table_store, Implementation, store_options, http_client&>;

}  // namespace eelgrass
