/** \file
 * The agent of an upstream.
 */
#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "daemons/node/agent_links.h"
#include "daemons/node/agent_node.h"
#include "kernel/base/duty.h"
#include "kernel/base/settings.h"
#include "kernel/config/agent_config.h"
#include "kernel/io/http_client.h"
#include "kernel/requests/upstream_core.h"

namespace eelgrass {

/** Executes the decisions of an upstream_core by calling the upstream over HTTP. */
class upstream_agent : public agent_node, public duty_handler<upstream_event> {
 public:
  upstream_agent(const settings& values, const clock& time);
  ~upstream_agent() override;

  result<void> Start() override;
  void BeginDrain() override;
  bool drained() const override { return drained_; }
  int open_work() const override { return open_; }
  void Stop() override;

  void Handle(std::span<upstream_event> events, millis now) override;

 private:
  void Call(call_upstream call);
  void OnUpstreamResponse(const std::string& id, millis begun, result<http_response> reply);

  const settings& settings_;
  const clock& clock_;
  std::unique_ptr<peer_codec> codec_;
  std::unique_ptr<peer_hub> hub_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<upstream_core> core_;
  std::unique_ptr<agent_config> config_;
  std::unique_ptr<duty<upstream_event>> duty_;
  std::unique_ptr<agent_links<upstream_event>> links_;
  std::vector<upstream_action> actions_;
  std::atomic<bool> drained_{false};
  std::atomic<int> open_{0};
};

}  // namespace eelgrass
