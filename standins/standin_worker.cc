#include "standins/standin_worker.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr int64_t kFirstLeaseMs = 3000;
constexpr int64_t kCheckpointMs = 200;  // that a checkpoint really takes
constexpr int64_t kShareBeforeFailure = 4;

}  // namespace

standin_worker::standin_worker(std::string name, const clock& time, delayed_calls& later,
                               task_log& log)
    : name_(std::move(name)), clock_(time), later_(later), log_(log) {}

void standin_worker::SetFailAll(bool fails) {
  std::lock_guard lock(mutex_);
  fail_all_ = fails;
}

std::string standin_worker::Call(const std::string& method, const std::string& parameters) {
  const json fields = json::parse(parameters);
  const gang_key gang{fields.value("job", ""), fields.value("epoch", int64_t{0})};
  std::lock_guard lock(mutex_);
  CheckLease();
  if (method == "poll_events") return Events(fields.value("after", int64_t{0}));
  if (method == "start_tasks") {
    part item;
    item.run_ms = fields.value("run_ms", int64_t{0});
    item.fails = fields.value("fails", false) || fail_all_;
    Start(gang, item, fields.value("tasks", 0));
  } else if (method == "open_gate") {
    Open(gang);
  } else if (method == "stop_tasks") {
    Stop(gang, fields.value("checkpoint_ms", int64_t{0}));
  } else if (method == "renew_tasks") {
    Renew(fields.value("lease_ms", int64_t{0}));
  }
  return "{}";
}

void standin_worker::Start(const gang_key& gang, part item, int tasks) {
  if (parts_.contains(gang)) return;
  if (parts_.empty()) lease_until_ = clock_.Now() + millis(kFirstLeaseMs);
  item.log_index =
      log_.Add({name_, gang.first, gang.second, tasks, 0, 0, false, clock_.Now().count()});
  parts_[gang] = item;
  events_.push_back({++last_event_, "started", gang.first, gang.second, true});
}

void standin_worker::Open(const gang_key& gang) {
  const auto found = parts_.find(gang);
  if (found == parts_.end() || found->second.open) return;
  part& item = found->second;
  item.open = true;
  log_.Opened(item.log_index, clock_.Now().count());
  const int64_t run = item.fails ? item.run_ms / kShareBeforeFailure : item.run_ms;
  Later(millis(run), &standin_worker::FinishRun, gang);
}

void standin_worker::Later(millis delay, void (standin_worker::*call)(const gang_key&),
                           const gang_key& gang) {
  later_.After(delay, [self = shared_from_this(), call, gang] {
    std::lock_guard lock(self->mutex_);
    self->CheckLease();
    ((*self).*call)(gang);
  });
}

void standin_worker::FinishRun(const gang_key& gang) {
  const auto found = parts_.find(gang);
  if (found != parts_.end()) End(gang, "ended", !found->second.fails);
}

void standin_worker::FinishCheckpoint(const gang_key& gang) {
  if (parts_.contains(gang)) End(gang, "stopped", true);
}

void standin_worker::Stop(const gang_key& gang, int64_t checkpoint_ms) {
  const auto found = parts_.find(gang);
  if (found == parts_.end()) {
    events_.push_back({++last_event_, "stopped", gang.first, gang.second, false});
    return;
  }
  const bool saves = found->second.open && checkpoint_ms >= kCheckpointMs;
  if (saves) {
    Later(millis(kCheckpointMs), &standin_worker::FinishCheckpoint, gang);
  } else {
    End(gang, "stopped", false);
  }
}

void standin_worker::End(const gang_key& gang, const std::string& what, bool good) {
  log_.Ended(parts_.at(gang).log_index, clock_.Now().count(), what == "ended" && good);
  parts_.erase(gang);
  events_.push_back({++last_event_, what, gang.first, gang.second, good});
}

void standin_worker::Renew(int64_t lease_ms) { lease_until_ = clock_.Now() + millis(lease_ms); }

void standin_worker::CheckLease() {
  if (parts_.empty() || clock_.Now() < lease_until_) return;
  while (!parts_.empty()) {
    const gang_key gang = parts_.begin()->first;
    log_.Ended(parts_.at(gang).log_index, lease_until_.count(), false);
    parts_.erase(gang);
    events_.push_back({++last_event_, "ended", gang.first, gang.second, false});
  }
}

std::string standin_worker::Events(int64_t after) {
  std::erase_if(events_, [after](const event& item) { return item.number <= after; });
  json list = json::array();
  for (const auto& item : events_) {
    list.push_back({{"number", item.number},
                    {"event", item.what},
                    {"job", item.job},
                    {"epoch", item.epoch},
                    {"good", item.good}});
  }
  return list.dump();
}

}  // namespace eelgrass
