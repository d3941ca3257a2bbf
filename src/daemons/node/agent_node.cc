#include "daemons/node/agent_node.h"

#include "daemons/node/common_settings.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {
constexpr millis kDrainTick{100};
constexpr int kMaxDrainTicks = 1300;
}  // namespace

int RunAgent(agent_node& node, const process_signals& signals) {
  const auto started = node.Start();
  if (!started) return ReportStartFailure(started.error());
  signals.Wait();
  log_event("agent-draining").With("open", node.open_work());
  node.BeginDrain();
  for (int tick = 0; tick < kMaxDrainTicks && !node.drained(); ++tick) {
    if (!signals.WaitFor(kDrainTick)) continue;
    log_event("agent-drain-signal-ignored", log_level::kWarning).With("open", node.open_work());
  }
  const int unfinished = node.drained() ? 0 : node.open_work();
  node.Stop();
  log_event("agent-stopped").With("unfinished", unfinished);
  return unfinished == 0 ? 0 : 1;
}

}  // namespace eelgrass
