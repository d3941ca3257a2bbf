/** \file
 * Readiness and metrics over HTTP.
 */
#pragma once

#include <atomic>

#include "kernel/base/metrics.h"
#include "kernel/io/http_front.h"

namespace eelgrass {

/** Answers GET /ready for the balancer and GET /metrics for monitoring. */
class status_page : public http_handler {
 public:
  status_page(http_front& server, const metrics& counters) : server_(server), counters_(counters) {}

  result<void> Start() { return server_.Start(*this); }
  void SetReady(bool ready) { ready_ = ready; }
  void Handle(http_request request) override;

 private:
  http_front& server_;
  const metrics& counters_;
  std::atomic<bool> ready_{false};
};

}  // namespace eelgrass
