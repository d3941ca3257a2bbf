/** \file
 * The program that takes the platform's place in tests and in the demo.
 */
#include "daemons/node/common_settings.h"
#include "daemons/node/process_signals.h"
#include "kernel/base/log_event.h"
#include "kernel/base/system_clock.h"
#include "standins/standin_platform.h"

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const process_signals signals;
  const std::vector<setting_spec> specs = {
      AddressSetting("listen", "127.0.0.1:7000", false, "address to serve on")};
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(
      arguments, specs, "Takes the platform's place: store, workers and an upstream service.",
      exit_code);
  if (!values) return exit_code;
  StartLogging(argv[0]);
  const system_clock time;
  front_options options;
  options.listen = values->text("listen");
  options.max_body = 64 << 20;
  auto server = front_registry::Instance().Create("restinio", options);
  if (!server) return ReportStartFailure(server.error());
  standin_platform platform(*server.value(), time);
  const auto started = server.value()->Start(platform);
  if (!started) return ReportStartFailure(started.error());
  log_event("standin-started").With("port", server.value()->port());
  signals.Wait();
  server.value()->Stop();
  return 0;
}
