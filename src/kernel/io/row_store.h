/** \file
 * A store of versioned rows with transactions and feeds: the interface of the row store plug-ins.
 */
#pragma once

#include <functional>
#include <string>

#include "kernel/base/plugin_registry.h"
#include "kernel/io/http_client.h"
#include "kernel/model/rows.h"

namespace eelgrass {

/** Every call is answered once, on the client's thread. */
class row_store {
 public:
  using transaction_callback = std::function<void(transaction_result)>;
  using rows_callback = std::function<void(rows_result)>;

  virtual ~row_store() = default;
  virtual void Transact(const row_transaction& change, millis timeout,
                        transaction_callback done) = 0;
  virtual void Read(const row_range& range, millis timeout, rows_callback done) = 0;
  virtual void Follow(const row_feed& feed, millis timeout, rows_callback done) = 0;
};

struct row_store_options {
  std::string address;  // IP:PORT
};

using row_store_registry = plugin_registry<row_store, row_store_options, http_client&>;

template <typename Implementation>
using row_store_registration = plugin_registration<row_store_registry, row_store, Implementation,
                                                   row_store_options, http_client&>;

}  // namespace eelgrass
