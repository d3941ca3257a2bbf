#include "daemons/node/process_signals.h"

#include <csignal>
#include <ctime>

namespace eelgrass {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

process_signals::process_signals() {
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

bool process_signals::WaitFor(millis time) const {
  constexpr int64_t kMillisPerSecond = 1000;
  constexpr int64_t kNanosPerMilli = 1000000;
  const sigset_t set = StopSignals();
  const timespec limit{time.count() / kMillisPerSecond,
                       time.count() % kMillisPerSecond * kNanosPerMilli};
  return sigtimedwait(&set, nullptr, &limit) > 0;
}

void process_signals::Wait() const {
  const sigset_t set = StopSignals();
  int signal_number = 0;
  sigwait(&set, &signal_number);
}

}  // namespace eelgrass
