/** \file
 * An entry: the front for callers and operators, the router, the planner and their connections.
 */
#pragma once

#include <memory>

#include "daemons/node/control_duty.h"
#include "daemons/node/entry_links.h"
#include "daemons/node/process_signals.h"
#include "daemons/node/report_duty.h"
#include "daemons/node/router_duty.h"
#include "kernel/base/duty.h"
#include "kernel/base/settings.h"

namespace eelgrass {

/** Settings of eelgrass_entry. */
std::vector<setting_spec> EntrySettings();

/** Creates an entry from its settings and the plug-ins named there, and runs it. */
class entry_node {
 public:
  entry_node(const settings& values, const clock& time);
  ~entry_node();

  /** Creates and starts all parts; on failure the error names the part that is missing. */
  result<void> Start();

  /** Runs until a stop signal, then drains. Returns the exit code. */
  int Run(const process_signals& signals);

 private:
  result<void> Build();
  void Stop();
  void UpdateRingMetrics();
  void Drain(const process_signals& signals);
  bool Finished() const;

  const settings& settings_;
  const clock& clock_;
  metrics counters_;
  std::unique_ptr<peer_codec> codec_;
  std::unique_ptr<peer_hub> hub_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<table_store> store_;
  std::unique_ptr<http_front> server_;
  std::unique_ptr<request_router> router_;
  std::unique_ptr<control_core> control_;
  std::unique_ptr<report_core> reports_;
  std::unique_ptr<report_duty> report_handler_;
  std::unique_ptr<duty<report_event>> report_duty_;
  std::unique_ptr<router_duty> router_handler_;
  std::unique_ptr<control_duty> control_handler_;
  std::unique_ptr<duty<router_event>> router_duty_;
  std::unique_ptr<duty<control_event>> control_duty_;
  std::unique_ptr<entry_links> links_;
  std::unique_ptr<caller_front> front_;
  millis started_;
};

}  // namespace eelgrass
