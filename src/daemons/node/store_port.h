/** \file
 * Connects a duty to the row store.
 */
#pragma once

#include <utility>

#include "kernel/base/event_sink.h"
#include "kernel/batch/store_exchange.h"
#include "kernel/io/row_store.h"

namespace eelgrass {

/** Sends a duty's calls to the store and delivers the replies to the duty's ring. */
template <typename Event>
class store_port {
 public:
  store_port(row_store& store, event_sink<Event>& duty) : store_(store), duty_(duty) {}

  void Submit(const store_request& request) {
    const auto answer = [this, token = request.token](auto result) {
      duty_.Deliver(Event(store_reply{token, std::move(result)}));
    };
    if (const auto* change = std::get_if<row_transaction>(&request.call)) {
      store_.Transact(*change, request.timeout, answer);
    } else if (const auto* range = std::get_if<row_range>(&request.call)) {
      store_.Read(*range, request.timeout, answer);
    } else {
      store_.Follow(std::get<row_feed>(request.call), request.timeout, answer);
    }
  }

 private:
  row_store& store_;
  event_sink<Event>& duty_;
};

}  // namespace eelgrass
