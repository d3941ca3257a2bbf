/** \file
 * The agent of a worker.
 */
#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "daemons/node/agent_links.h"
#include "daemons/node/agent_node.h"
#include "daemons/node/runtime_duty.h"
#include "kernel/base/duty.h"
#include "kernel/base/settings.h"
#include "kernel/config/agent_config.h"
#include "kernel/io/worker_runtime.h"
#include "kernel/jobs/worker_core.h"

namespace eelgrass {

/** Executes the decisions of a worker_core on the platform's worker. */
class worker_agent : public agent_node, public duty_handler<worker_event> {
 public:
  worker_agent(const settings& values, const clock& time);
  ~worker_agent() override;

  result<void> Start() override;
  void BeginDrain() override;
  bool drained() const override { return drained_; }
  int open_work() const override { return open_; }
  void Stop() override;

  void Handle(std::span<worker_event> events, millis now) override;

 private:
  void Execute(worker_action& action);

  const settings& settings_;
  const clock& clock_;
  std::unique_ptr<peer_codec> codec_;
  std::unique_ptr<peer_hub> hub_;
  std::unique_ptr<worker_runtime> runtime_;
  std::unique_ptr<worker_core> core_;
  std::unique_ptr<agent_config> config_;
  std::unique_ptr<duty<worker_event>> duty_;
  std::unique_ptr<runtime_duty> runtime_handler_;
  std::unique_ptr<duty<runtime_order>> runtime_duty_;
  std::unique_ptr<agent_links<worker_event>> links_;
  std::vector<worker_event> events_;
  std::vector<worker_action> actions_;
  std::atomic<bool> drained_{false};
  std::atomic<int> open_{0};
};

}  // namespace eelgrass
