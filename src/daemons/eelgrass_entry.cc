/** \file
 * The entry program behind the balancer, which serves callers and operators.
 */
#include "daemons/node/common_settings.h"
#include "daemons/node/entry_node.h"
#include "kernel/base/log_event.h"
#include "kernel/base/system_clock.h"

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const process_signals signals;
  const auto specs = EntrySettings();
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(
      arguments, specs, "Serves callers and operators, routes requests, plans jobs.", exit_code);
  if (!values) return exit_code;
  StartLogging(argv[0]);
  const system_clock time;
  entry_node node(*values, time);
  const auto started = node.Start();
  if (!started) return ReportStartFailure(started.error());
  return node.Run(signals);
}
