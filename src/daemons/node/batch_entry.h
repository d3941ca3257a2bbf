/** \file
 * The entry for batch jobs: the front for callers and the planner.
 */
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "daemons/node/process_signals.h"
#include "daemons/node/status_page.h"
#include "daemons/node/store_port.h"
#include "kernel/base/duty.h"
#include "kernel/batch/gateway_core.h"
#include "kernel/batch/planner_core.h"
#include "kernel/io/advice_service.h"
#include "kernel/io/deployment.h"
#include "kernel/io/job_front.h"
#include "kernel/io/peer_hub.h"
#include "kernel/io/vm_directory.h"

namespace eelgrass {

/** The duty that answers callers. */
class gateway_duty : public duty_handler<gateway_event> {
 public:
  gateway_duty(gateway_core& core, peer_hub& hub, job_front& front, status_page& status,
               metrics& counters);

  void Connect(store_port<gateway_event>& store, event_sink<planner_event>& planner);
  void Handle(std::span<gateway_event> events, millis now) override;
  size_t open_calls() const { return open_calls_; }

 private:
  void Execute(gateway_action& action);
  void SetGauges(millis now);

  gateway_core& core_;
  peer_hub& hub_;
  job_front& front_;
  status_page& status_;
  metrics& counters_;
  store_port<gateway_event>* store_ = nullptr;
  event_sink<planner_event>* planner_ = nullptr;
  std::vector<gateway_action> actions_;
  millis next_gauges_{0};
  std::map<std::string, std::pair<int64_t, int64_t>> forecast_waits_;  // shown, by queue
  std::atomic<size_t> open_calls_{0};
};

/** The duty that plans, or monitors the process that does. */
class planner_duty : public duty_handler<planner_event> {
 public:
  planner_duty(planner_core& core, peer_hub& hub, const clock& time, metrics& counters);

  void Connect(store_port<planner_event>& store, event_sink<gateway_event>& gateway,
               advice_service& advice, vm_directory& directory, event_sink<planner_event>& self);
  void Handle(std::span<planner_event> events, millis now) override;
  bool handed_over() const { return handed_over_; }

 private:
  void Execute(planner_action& action);

  planner_core& core_;
  peer_hub& hub_;
  const clock& clock_;
  metrics& counters_;
  store_port<planner_event>* store_ = nullptr;
  event_sink<gateway_event>* gateway_ = nullptr;
  advice_service* advice_ = nullptr;
  vm_directory* directory_ = nullptr;
  event_sink<planner_event>* self_ = nullptr;
  std::vector<planner_action> actions_;
  millis next_gauges_{0};
  std::atomic<bool> handed_over_{true};
};

/** Creates the duties of one process and connects them. */
class batch_entry : public caller_listener, public link_listener {
 public:
  batch_entry(deployment place, const clock& time);
  ~batch_entry() override;

  result<void> Start();

  /** Runs until a stop signal, then drains. Returns the exit code. */
  int Run(const process_signals& signals);

  bool OnCall(caller_call call) override;
  void OnLink(link_event event) override;

 private:
  result<void> Build();
  void Drain(const process_signals& signals);
  void Stop();

  const deployment place_;
  const clock& clock_;
  metrics counters_;
  std::unique_ptr<peer_codec> codec_;
  std::unique_ptr<peer_hub> hub_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<row_store> store_;
  std::unique_ptr<advice_service> advice_;
  std::unique_ptr<vm_directory> directory_;
  std::unique_ptr<http_front> front_server_;
  std::unique_ptr<http_front> ready_server_;
  std::unique_ptr<http_front> metrics_server_;
  std::unique_ptr<job_front> front_;
  std::unique_ptr<status_page> status_;
  std::unique_ptr<status_page> metrics_page_;
  std::unique_ptr<operator_source> source_;
  std::unique_ptr<batch_record_codec> records_;
  std::unique_ptr<unit_order> order_;
  std::unique_ptr<gateway_core> gateway_;
  std::unique_ptr<planner_core> planner_;
  std::unique_ptr<gateway_duty> gateway_handler_;
  std::unique_ptr<planner_duty> planner_handler_;
  std::unique_ptr<duty<gateway_event>> gateway_duty_;
  std::unique_ptr<duty<planner_event>> planner_duty_;
  std::unique_ptr<store_port<gateway_event>> gateway_store_;
  std::unique_ptr<store_port<planner_event>> planner_store_;
};

}  // namespace eelgrass
