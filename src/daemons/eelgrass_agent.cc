/** \file
 * The agent program, which runs next to each upstream and each worker.
 */
#include <memory>

#include "daemons/node/common_settings.h"
#include "daemons/node/upstream_agent.h"
#include "daemons/node/worker_agent.h"
#include "kernel/base/log_event.h"
#include "kernel/base/system_clock.h"

namespace {

std::vector<eelgrass::setting_spec> AgentSettings() {
  using eelgrass::IntSetting;
  using eelgrass::TextSetting;
  constexpr int64_t kMaxAmount = 1000000;
  auto specs = eelgrass::PeerSettings();
  specs.push_back(eelgrass::ChoiceSetting("role", "upstream", {"upstream", "worker"},
                                          "kind of process that the agent manages"));
  specs.push_back(eelgrass::AddressSetting("entries", "127.0.0.1:9000", true,
                                           "entries, or the balancer in front of them"));
  specs.push_back(TextSetting("service", "orders", "upstream: service that it offers"));
  specs.push_back(IntSetting("slots", 8, 1, 10000, "upstream: concurrent requests"));
  specs.push_back(IntSetting("connections", 64, 1, 10000, "upstream: concurrent connections"));
  specs.push_back(TextSetting("upstream-url", "http://127.0.0.1:7100", "upstream: its URL"));
  specs.push_back(TextSetting("rack", "r1", "worker: its rack"));
  specs.push_back(TextSetting("region", "", "worker: its region"));
  specs.push_back(IntSetting("accelerators", 8, 0, kMaxAmount, "worker: accelerators"));
  specs.push_back(IntSetting("cores", 32, 0, kMaxAmount, "worker: cores"));
  specs.push_back(IntSetting("memory-gb", 128, 0, kMaxAmount, "worker: memory in GB"));
  specs.push_back(
      TextSetting("worker-url", "http://127.0.0.1:7200", "worker: URL of the platform's worker"));
  return specs;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const process_signals signals;
  const auto specs = AgentSettings();
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(
      arguments, specs, "Manages one upstream or worker and decides what it runs.", exit_code);
  if (!values) return exit_code;
  StartLogging(argv[0]);
  const system_clock time;
  std::unique_ptr<agent_node> node;
  if (values->text("role") == "upstream") {
    node = std::make_unique<upstream_agent>(*values, time);
  } else {
    node = std::make_unique<worker_agent>(*values, time);
  }
  return RunAgent(*node, signals);
}
