/** \file
 * Delivers the connection events of an entry to the duties that handle them.
 */
#pragma once

#include "kernel/base/event_sink.h"
#include "kernel/control/control_core.h"
#include "kernel/io/peer_hub.h"
#include "kernel/requests/request_router.h"

namespace eelgrass {

/** Runs on the transport's thread and blocks while a duty's ring is full (back pressure). */
class entry_links : public link_listener {
 public:
  entry_links(event_sink<router_event>& router, event_sink<control_event>& control)
      : router_(router), control_(control) {}

  void OnLink(link_event event) override;

 private:
  event_sink<router_event>& router_;
  event_sink<control_event>& control_;
};

}  // namespace eelgrass
