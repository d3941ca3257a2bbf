#include "daemons/node/runtime_duty.h"

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr int kTries = 3;

/** Repeats a call whose answer was lost; the worker knows gangs by their epoch. */
template <typename Call>
bool Insist(const Call& call) {
  result<void> done = call();
  for (int i = 1; i < kTries && !done; ++i) done = call();
  if (done) return true;
  log_event("worker-call-failed", log_level::kWarning).With("error", ToString(done.error()));
  return false;
}

}  // namespace

void runtime_duty::Handle(std::span<runtime_order> orders, millis /*now*/) {
  for (const auto& order : orders) {
    std::visit([this](const auto& o) { Carry(o); }, order);
  }
  Poll();
}

void runtime_duty::Carry(const start_tasks& order) {
  busy_ = true;
  if (Insist([&] { return runtime_.Start(order); })) return;
  worker_.Deliver(tasks_started{order.gang, false, "the worker does not answer"});
}

void runtime_duty::Carry(const open_gate& order) {
  Insist([&] { return runtime_.OpenGate(order); });
}

void runtime_duty::Carry(const stop_tasks& order) {
  Insist([&] { return runtime_.Stop(order); });
}

void runtime_duty::Carry(const renew_tasks& order) {
  busy_ = true;
  Insist([&] { return runtime_.Renew(order); });
}

void runtime_duty::Poll() {
  if (!busy_) return;
  auto events = runtime_.Poll();
  if (!events) return;
  for (auto& event : events.value()) {
    std::visit([this](auto& e) { worker_.Deliver(std::move(e)); }, event);
  }
}

}  // namespace eelgrass
