#include "tests/world/fake_runtime.h"

namespace eelgrass {
namespace {
constexpr millis kStartTime{5};
constexpr millis kTellTime{3};
constexpr millis kFirstLease{3000};
constexpr int64_t kShareBeforeFailure = 4;
}  // namespace

fake_runtime::fake_runtime(std::string worker, timeline& events, task_log& log)
    : worker_(std::move(worker)), events_(events), log_(log) {}

void fake_runtime::Tell(worker_event event) {
  events_.After(kTellTime, [this, event = std::move(event)]() mutable {
    if (listen_) listen_(std::move(event));
  });
}

void fake_runtime::Carry(const start_tasks& order) {
  if (parts_.contains(order.gang)) return;
  if (parts_.empty()) lease_until_ = events_.now() + kFirstLease;
  part item;
  item.run_ms = order.run_ms;
  item.fails = order.fails || fail_all_;
  item.number = ++last_number_;
  item.log_index = log_.Add(
      {worker_, order.gang.job, order.gang.epoch, order.tasks, 0, 0, false, events_.now().count()});
  parts_[order.gang] = item;
  events_.After(kStartTime, [this, gang = order.gang] { Tell(tasks_started{gang, true, {}}); });
  events_.At(lease_until_, [this] { CheckLease(); });
}

void fake_runtime::Carry(const open_gate& order) {
  const auto found = parts_.find(order.gang);
  if (found == parts_.end() || found->second.open) return;
  part& item = found->second;
  item.open = true;
  log_.Opened(item.log_index, events_.now().count());
  const int64_t run = item.fails ? item.run_ms / kShareBeforeFailure : item.run_ms;
  const uint64_t number = item.number;
  events_.After(millis(run), [this, gang = order.gang, number] {
    const auto ended = parts_.find(gang);
    if (ended == parts_.end() || ended->second.number != number) return;
    const bool good = !ended->second.fails;
    End(gang, tasks_ended{gang, good, good ? "" : "the task failed"}, good);
  });
}

void fake_runtime::Carry(const stop_tasks& order) {
  const auto found = parts_.find(order.gang);
  if (found == parts_.end()) {
    Tell(tasks_stopped{order.gang, false});
    return;
  }
  const bool saves = found->second.open && millis(order.checkpoint_ms) >= checkpoint_;
  if (!saves) {
    End(order.gang, tasks_stopped{order.gang, false}, false);
    return;
  }
  const uint64_t number = found->second.number;
  events_.After(checkpoint_, [this, gang = order.gang, number] {
    const auto saved = parts_.find(gang);
    if (saved == parts_.end() || saved->second.number != number) return;
    End(gang, tasks_stopped{gang, true}, false);
  });
}

void fake_runtime::Carry(const renew_tasks& order) {
  lease_until_ = events_.now() + millis(order.lease_ms);
  events_.At(lease_until_, [this] { CheckLease(); });
}

void fake_runtime::End(const gang_id& gang, worker_event event, bool success) {
  log_.Ended(parts_.at(gang).log_index, events_.now().count(), success);
  parts_.erase(gang);
  Tell(std::move(event));
}

void fake_runtime::CheckLease() {
  if (parts_.empty() || events_.now() < lease_until_) return;
  while (!parts_.empty()) {
    const gang_id gang = parts_.begin()->first;
    End(gang, tasks_ended{gang, false, "the lease lapsed"}, false);
  }
}

void fake_runtime::Die() {
  listen_ = nullptr;
  for (const auto& [gang, item] : parts_) {
    log_.Ended(item.log_index, events_.now().count(), false);
  }
  parts_.clear();
}

bool fake_runtime::working() const {
  for (const auto& [gang, item] : parts_) {
    if (item.open) return true;
  }
  return false;
}

}  // namespace eelgrass
