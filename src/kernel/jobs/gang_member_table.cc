#include "kernel/jobs/gang_member_table.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kFenceRetention{3600000};
constexpr size_t kMaxResults = 4096;
constexpr size_t kMaxEpochs = 16384;

}  // namespace

gang_member_table::gang_member_table(std::string self, resources capacity)
    : self_(std::move(self)), capacity_(capacity) {}

resources gang_member_table::used() const {
  resources total;
  for (const auto& [gang, item] : parts_) total += item.amount;
  return total;
}

bool gang_member_table::TakeChanged() {
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

bool gang_member_table::OlderEpoch(const gang_id& gang) const {
  const auto known = epochs_.find(gang.job);
  return known != epochs_.end() && gang.epoch < known->second;
}

reserve_answer gang_member_table::On(const reserve& message, int64_t own_version) {
  reserve_answer answer{message.gang, false, {}};
  const auto known = parts_.find(message.gang);
  if (known != parts_.end()) {
    answer.granted = known->second.state == part_state::kReserved;
    if (!answer.granted) answer.reason = "already started";
    return answer;
  }
  if (!refusal_reason_.empty()) {
    answer.reason = refusal_reason_;
  } else if (message.version != own_version) {
    answer.reason = "another configuration is in force here";
  } else if (IsFenced(message.gang) || OlderEpoch(message.gang)) {
    answer.reason = "barred";
  } else if (!message.amount.Fits(capacity_ - used())) {
    answer.reason = "occupied";
  } else {
    if (epochs_.size() >= kMaxEpochs) epochs_.erase(epochs_.begin());
    epochs_[message.gang.job] = message.gang.epoch;
    part item;
    item.tasks = message.tasks;
    item.amount = message.amount;
    item.until = now_ + millis(message.hold_ms);
    parts_[message.gang] = std::move(item);
    changed_ = true;
    answer.granted = true;
  }
  return answer;
}

void gang_member_table::On(const release& message) {
  const auto known = parts_.find(message.gang);
  FenceOff(message.gang);
  if (known == parts_.end()) return;
  if (known->second.state == part_state::kReserved) {
    Drop(message.gang);
    return;
  }
  known->second.suppress_report = true;
  StopPart(message.gang, known->second, 0);
}

gang_armed gang_member_table::On(const gang_arm& message) {
  gang_armed answer{message.gang, false, {}};
  const auto known = parts_.find(message.gang);
  if (known == parts_.end()) {
    FenceOff(message.gang);
    answer.reason = "no reservation";
    return answer;
  }
  part& item = known->second;
  if (!refusal_reason_.empty()) {
    answer.reason = refusal_reason_;
    FenceOff(message.gang);
    Drop(message.gang);
    return answer;
  }
  answer.armed = true;
  if (item.state == part_state::kArmed) item.until = now_ + millis(message.lease_ms);
  if (item.state != part_state::kReserved) return answer;
  item.state = part_state::kArmed;
  item.anchor = message.anchor;
  item.run_ms = message.run_ms;
  item.fails = message.fails;
  item.until = now_ + millis(message.lease_ms);
  return answer;
}

void gang_member_table::On(const std::string& anchor, const gang_start& message) {
  const auto known = parts_.find(message.gang);
  if (known == parts_.end() || !refusal_reason_.empty()) {
    const std::string reason = known == parts_.end() ? "not armed" : refusal_reason_;
    Send(anchor, gang_started{message.gang, false, reason});
    if (known != parts_.end() && known->second.state == part_state::kArmed) Drop(message.gang);
    return;
  }
  part& item = known->second;
  item.until = now_ + millis(message.lease_ms);
  if (item.state == part_state::kStarted || item.state == part_state::kWorking) {
    Send(anchor, gang_started{message.gang, true, {}});
  }
  if (item.state != part_state::kArmed) return;
  item.state = part_state::kStarting;
  actions_.push_back(start_tasks{message.gang, item.tasks, item.amount, item.run_ms, item.fails});
}

void gang_member_table::On(const std::string& anchor, const gang_renew& message) {
  const auto known = parts_.find(message.gang);
  if (known == parts_.end()) {
    const auto reported = results_.find(message.gang);
    const gang_member_done unknown{message.gang, false, "the member has no such gang"};
    Send(anchor, reported != results_.end() ? reported->second : unknown);
    return;
  }
  part& item = known->second;
  if (item.state == part_state::kStopping) return;
  item.until = now_ + millis(message.lease_ms);
  if (message.open && item.state == part_state::kStarted) {
    item.state = part_state::kWorking;
    actions_.push_back(open_gate{message.gang});
  }
  Send(anchor, gang_renewed{message.gang, item.state == part_state::kWorking});
}

void gang_member_table::On(const std::string& anchor, const gang_stop& message) {
  const auto known = parts_.find(message.gang);
  if (known == parts_.end()) {
    const auto reported = results_.find(message.gang);
    const gang_member_done unknown{message.gang, false, "stopped"};
    Send(anchor, reported != results_.end() ? reported->second : unknown);
    FenceOff(message.gang);
    return;
  }
  StopPart(message.gang, known->second, message.checkpoint_ms);
}

void gang_member_table::StopPart(const gang_id& gang, part& item, int64_t checkpoint_ms) {
  if (item.state == part_state::kStopping) return;
  const bool runs = item.state == part_state::kStarting || item.state == part_state::kStarted ||
                    item.state == part_state::kWorking;
  if (!runs) {
    const gang_member_done last{gang, false, "stopped"};
    if (!item.anchor.empty()) Send(item.anchor, last);
    results_[gang] = last;
    FenceOff(gang);
    Drop(gang);
    return;
  }
  const bool worked = item.state == part_state::kWorking;
  item.state = part_state::kStopping;
  actions_.push_back(stop_tasks{gang, worked ? checkpoint_ms : 0});
}

void gang_member_table::On(const tasks_started& event) {
  const auto known = parts_.find(event.gang);
  if (known == parts_.end() || known->second.state != part_state::kStarting) return;
  Send(known->second.anchor, gang_started{event.gang, event.started, event.reason});
  if (event.started) {
    known->second.state = part_state::kStarted;
  } else {
    Drop(event.gang);
  }
}

void gang_member_table::On(const tasks_ended& event) {
  const auto known = parts_.find(event.gang);
  if (known == parts_.end()) return;
  const gang_member_done last{event.gang, event.success, event.reason};
  if (!known->second.suppress_report) Send(known->second.anchor, last);
  if (results_.size() >= kMaxResults) results_.erase(results_.begin());
  results_[event.gang] = last;
  Drop(event.gang);
}

void gang_member_table::On(const tasks_stopped& event) {
  On(tasks_ended{event.gang, false, event.saved ? "saved" : "stopped"});
}

void gang_member_table::Expire() {
  std::vector<gang_id> expired;
  for (const auto& [gang, item] : parts_) {
    if (item.state != part_state::kStopping && now_ >= item.until) expired.push_back(gang);
  }
  for (const auto& gang : expired) {
    part& item = parts_.at(gang);
    FenceOff(gang);
    if (item.state == part_state::kReserved || item.state == part_state::kArmed) {
      Drop(gang);
    } else {
      StopPart(gang, item, 0);
    }
  }
  std::erase_if(fenced_, [this](const auto& entry) { return entry.second <= now_; });
}

void gang_member_table::FenceOff(const gang_id& gang) { fenced_[gang] = now_ + kFenceRetention; }

void gang_member_table::Drop(const gang_id& gang) {
  parts_.erase(gang);
  changed_ = true;
}

void gang_member_table::Send(const std::string& anchor, peer_message message) {
  actions_.push_back(send_to_peer{anchor, std::move(message)});
}

}  // namespace eelgrass
