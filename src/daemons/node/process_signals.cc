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

sigset_t AllSignals() {
  sigset_t set = StopSignals();
  sigaddset(&set, SIGHUP);
  return set;
}

/** Returns the signal received within `time`; 0 or less if there was none. */
int WaitForSignal(const sigset_t& set, millis time) {
  constexpr int64_t kMillisPerSecond = 1000;
  constexpr int64_t kNanosPerMilli = 1000000;
  const timespec limit{time.count() / kMillisPerSecond,
                       time.count() % kMillisPerSecond * kNanosPerMilli};
  return sigtimedwait(&set, nullptr, &limit);
}

}  // namespace

process_signals::process_signals() {
  const sigset_t set = AllSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

bool process_signals::WaitFor(millis time) const { return WaitForSignal(StopSignals(), time) > 0; }

signal_request process_signals::Next(millis time) const {
  const int number = WaitForSignal(AllSignals(), time);
  if (number <= 0) return signal_request::kNone;
  return number == SIGHUP ? signal_request::kReload : signal_request::kStop;
}

void process_signals::Wait() const {
  const sigset_t set = StopSignals();
  int signal_number = 0;
  sigwait(&set, &signal_number);
}

}  // namespace eelgrass
