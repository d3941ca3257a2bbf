/** \file
 * Tells upstreams' agents how many slots an entry could use.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/link_events.h"
#include "kernel/requests/fair_queue.h"
#include "kernel/requests/upstream_table.h"

namespace eelgrass {

/**
 * Spreads what waits and what runs of a service over its agents, so that each can share its slots
 * out among the entries. An agent hears of changes only.
 */
class demand_reporter {
 public:
  using service_queues = std::map<std::string, fair_queue, std::less<>>;

  demand_reporter(upstream_table& upstreams, const service_queues& queues)
      : upstreams_(upstreams), queues_(queues) {}

  /** The messages that are due. */
  std::vector<send_to_peer> DueMessages(millis now);

 private:
  upstream_table& upstreams_;
  const service_queues& queues_;
  millis next_report_;
};

}  // namespace eelgrass
