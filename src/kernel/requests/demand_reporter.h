/** \file
 * Reports to the upstream agents how many slots an entry could use.
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
 * Divides the queued and running requests of a service among its agents, so that each agent can
 * divide its slots among the entries. An agent is sent its demand only when it has changed.
 */
class demand_reporter {
 public:
  using service_queues = std::map<std::string, fair_queue, std::less<>>;

  demand_reporter(upstream_table& upstreams, const service_queues& queues)
      : upstreams_(upstreams), queues_(queues) {}

  /** Returns the messages that are due at `now`. */
  std::vector<send_to_peer> DueMessages(millis now);

 private:
  upstream_table& upstreams_;
  const service_queues& queues_;
  millis next_report_;
};

}  // namespace eelgrass
