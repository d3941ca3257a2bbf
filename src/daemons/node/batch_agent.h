/** \file
 * The agent of the batch workers on a VM.
 */
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "daemons/node/agent_links.h"
#include "daemons/node/process_signals.h"
#include "daemons/node/status_page.h"
#include "daemons/node/store_port.h"
#include "kernel/base/duty.h"
#include "kernel/batch/agent_core.h"
#include "kernel/io/deployment.h"
#include "kernel/io/job_front.h"
#include "kernel/io/peer_hub.h"
#include "kernel/io/worker_control.h"

namespace eelgrass {

/** Executes the decisions of an agent_core on the workers that register with this process. */
class batch_agent : public beat_listener, public duty_handler<agent_event> {
 public:
  /** `settings`: where `place` was read from, for the seeds that it names later. */
  batch_agent(deployment place, const deployment_file& settings, const clock& time);
  ~batch_agent() override;

  result<void> Start();

  /** Runs until a stop signal. Returns the exit code. */
  int Run(const process_signals& signals);

  bool OnBeat(worker_heartbeat heartbeat) override;
  bool OnLeft(worker_departure departure) override;
  void Handle(std::span<agent_event> events, millis now) override;

 private:
  result<void> Build();
  void Execute(agent_action& action);
  void SetGauges(millis now);
  void ReadSeeds();
  void Stop();

  const deployment place_;
  const deployment_file& settings_;
  const clock& clock_;
  metrics counters_;
  std::unique_ptr<peer_codec> codec_;
  std::unique_ptr<peer_hub> hub_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<row_store> store_;
  std::unique_ptr<worker_control> control_;
  std::unique_ptr<http_front> server_;
  std::unique_ptr<http_front> metrics_server_;
  std::unique_ptr<status_page> metrics_page_;
  std::unique_ptr<beat_front> front_;
  std::unique_ptr<agent_core> core_;
  std::unique_ptr<duty<agent_event>> duty_;
  std::unique_ptr<store_port<agent_event>> store_port_;
  std::unique_ptr<agent_links<agent_event>> links_;
  std::vector<agent_action> actions_;
  millis next_gauges_{0};
  std::atomic<bool> reload_wanted_{false};  // by the duty, from the main thread
  bool settings_unreadable_ = false;        // at the last reading, by the main thread
};

}  // namespace eelgrass
