#include "daemons/node/runtime_duty.h"

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr int kMaxTries = 3;

/** Repeats a failed call. This is safe because the worker identifies gangs by their epoch. */
template <typename Call>
bool CallWithRetries(const Call& call) {
  result<void> done = call();
  for (int i = 1; i < kMaxTries && !done; ++i) done = call();
  if (done) return true;
  log_event("worker-call-failed", log_level::kWarning).With("error", ToString(done.error()));
  return false;
}

}  // namespace

void runtime_duty::Handle(std::span<runtime_order> orders, millis /*now*/) {
  for (const auto& order : orders) {
    std::visit([this](const auto& o) { Execute(o); }, order);
  }
  Poll();
}

void runtime_duty::Execute(const start_tasks& order) {
  may_have_tasks_ = true;
  if (CallWithRetries([&] { return runtime_.Start(order); })) return;
  worker_.Deliver(tasks_started{order.gang, false, "the worker does not answer"});
}

void runtime_duty::Execute(const open_gate& order) {
  CallWithRetries([&] { return runtime_.OpenGate(order); });
}

void runtime_duty::Execute(const stop_tasks& order) {
  CallWithRetries([&] { return runtime_.Stop(order); });
}

void runtime_duty::Execute(const renew_tasks& order) {
  may_have_tasks_ = true;
  CallWithRetries([&] { return runtime_.Renew(order); });
}

void runtime_duty::Poll() {
  if (!may_have_tasks_) return;
  auto events = runtime_.Poll();
  if (!events) return;
  for (auto& event : events.value()) {
    std::visit([this](auto& e) { worker_.Deliver(std::move(e)); }, event);
  }
}

}  // namespace eelgrass
