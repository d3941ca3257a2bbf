#include "kernel/jobs/worker_core.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kTaskRenewal{1000};
constexpr millis kTaskLease{3000};
constexpr millis kIsolationLimit{90000};
constexpr millis kIsolationCheckpoint{10000};
constexpr millis kUsageInterval{1000};
constexpr millis kDrainCheckpoint{30000};
constexpr millis kReportAckTimeout{10000};  // for the acknowledgement of the last reports

}  // namespace

worker_core::worker_core(worker_options options)
    : options_(std::move(options)),
      members_(options_.agent, options_.capacity),
      anchor_(options_.agent),
      document_(std::make_shared<document>()) {}

void worker_core::Decide(std::span<const worker_event> events, millis now, millis wall_now,
                         std::vector<worker_action>& actions) {
  actions_ = &actions;
  now_ = now;
  wall_now_ = wall_now;
  if (first_) sustained_at_ = now;
  first_ = false;
  members_.SetNow(now);
  anchor_.SetNow(now);
  // After a pause of the process, expired leases and reservations must lapse before any event is
  // handled.
  UpdateRefusalReason();
  members_.Expire();
  anchor_.Tick();
  Collect();
  for (const auto& event : events) {
    std::visit([this](const auto& e) { On(e); }, event);
    UpdateRefusalReason();
    Collect();
  }
  CheckIsolation();
  Collect();
  if (now_ >= next_renewal_) {
    next_renewal_ = now_ + kTaskRenewal;
    if (!members_.parts().empty()) actions_->push_back(renew_tasks{kTaskLease.count()});
  }
  ReportUsage();
  const bool ended = draining_ && anchor_.all_concluded();
  if (ended && concluded_at_ == kFarFuture) concluded_at_ = now_;
  actions_ = nullptr;
}

bool worker_core::drained() const {
  if (!draining_ || !members_.parts().empty()) return false;
  if (anchor_.idle()) return true;
  const bool any_connected =
      std::any_of(entries_.begin(), entries_.end(), [](const auto& entry) { return entry.second; });
  return anchor_.all_concluded() && (!any_connected || now_ - concluded_at_ >= kReportAckTimeout);
}

void worker_core::UpdateRefusalReason() {
  if (draining_) {
    members_.SetRefusalReason("leaving");
  } else if (now_ >= permit_until_) {
    members_.SetRefusalReason("no permission from a fresh entry");
  } else if (document_->IsOut(options_.domain, wall_now_)) {
    members_.SetRefusalReason("domain out");
  } else {
    members_.SetRefusalReason({});
  }
}

void worker_core::On(const peer_up& event) {
  if (event.peer.role != peer_role::kEntry) return;
  entries_[event.peer.id] = true;
  Announce(event.peer.id);
  next_usage_ = millis(0);
  members_.TakeChanged();
  worker_usage usage;
  for (const auto& [gang, part] : members_.parts()) usage.held.push_back({gang, part.amount});
  actions_->push_back(send_to_peer{event.peer.id, std::move(usage)});
}

void worker_core::On(const peer_down& event) {
  const auto known = entries_.find(event.peer);
  if (known != entries_.end()) known->second = false;
}

void worker_core::On(const document_changed& event) { document_ = event.doc; }

void worker_core::On(const tasks_started& event) { members_.On(event); }
void worker_core::On(const tasks_ended& event) { members_.On(event); }
void worker_core::On(const tasks_stopped& event) { members_.On(event); }

void worker_core::On(const drain_wanted&) {
  if (draining_) return;
  draining_ = true;
  for (const auto& [entry, connected] : entries_) Announce(entry);
  anchor_.StopAll("worker leaving", kDrainCheckpoint);
}

void worker_core::On(const peer_said& event) {
  OnEntryMessage(event.peer, event.message);
  OnGangMessage(event.peer, event.message);
}

void worker_core::OnEntryMessage(const std::string& peer, const peer_message& message) {
  if (const auto* heartbeat = std::get_if<entry_heartbeat>(&message)) {
    // A permission is valid only for the configuration version in force at this agent.
    const bool current = heartbeat->version == document_->version;
    if (heartbeat->fresh && current) {
      permit_until_ = std::max(permit_until_, now_ + millis(heartbeat->permit_ms));
    } else if (heartbeat->version > document_->version) {
      permit_until_ = now_;
    }
    if (heartbeat->sustains) sustained_at_ = now_;
  } else if (const auto* reserve_request = std::get_if<reserve>(&message)) {
    reserve_answer answer = members_.On(*reserve_request, document_->version);
    ++(answer.granted ? stats_.reserved : stats_.refused);
    actions_->push_back(send_to_peer{peer, std::move(answer)});
  } else if (const auto* release_request = std::get_if<release>(&message)) {
    members_.On(*release_request);
  } else if (const auto* order = std::get_if<commit>(&message)) {
    const bool holds = members_.Holds(order->gang) && !members_.IsFenced(order->gang);
    anchor_.On(*order, holds);
  } else if (const auto* query = std::get_if<gang_query>(&message)) {
    anchor_.On(peer, *query, members_.Holds(query->gang));
  } else if (const auto* done = std::get_if<gang_report_ack>(&message)) {
    anchor_.On(*done);
  }
}

void worker_core::OnGangMessage(const std::string& peer, const peer_message& message) {
  if (const auto* arm = std::get_if<gang_arm>(&message)) {
    actions_->push_back(send_to_peer{peer, members_.On(*arm)});
  } else if (const auto* start = std::get_if<gang_start>(&message)) {
    members_.On(peer, *start);
  } else if (const auto* renew = std::get_if<gang_renew>(&message)) {
    members_.On(peer, *renew);
  } else if (const auto* stop = std::get_if<gang_stop>(&message)) {
    // A planner stops a gang through its anchor; an anchor stops its members.
    const bool from_entry = entries_.find(peer) != entries_.end();
    if (from_entry && anchor_.IsAnchorOf(stop->gang)) {
      anchor_.On(*stop);
    } else if (from_entry) {
      anchor_.On(peer, gang_query{stop->gang}, members_.Holds(stop->gang));
    } else {
      members_.On(peer, *stop);
    }
  } else if (const auto* armed = std::get_if<gang_armed>(&message)) {
    anchor_.On(peer, *armed);
  } else if (const auto* started = std::get_if<gang_started>(&message)) {
    anchor_.On(peer, *started);
  } else if (const auto* renewed = std::get_if<gang_renewed>(&message)) {
    anchor_.On(peer, *renewed);
  } else if (const auto* ended = std::get_if<gang_member_done>(&message)) {
    anchor_.On(peer, *ended);
  }
}

void worker_core::CheckIsolation() {
  if (now_ - sustained_at_ < kIsolationLimit) return;
  anchor_.StopAll("no entry was heard", kIsolationCheckpoint);
}

void worker_core::Announce(const std::string& entry) {
  announce announcement;
  announcement.rack = options_.rack;
  announcement.region = options_.region;
  announcement.capacity = options_.capacity;
  announcement.leaving = draining_;
  actions_->push_back(send_to_peer{entry, std::move(announcement)});
}

void worker_core::ReportUsage() {
  if (now_ < next_usage_ || !members_.TakeChanged()) return;
  next_usage_ = now_ + kUsageInterval;
  worker_usage usage;
  for (const auto& [gang, part] : members_.parts()) usage.held.push_back({gang, part.amount});
  for (const auto& [entry, connected] : entries_) {
    if (connected) actions_->push_back(send_to_peer{entry, usage});
  }
}

void worker_core::Collect() {
  while (true) {
    for (const auto& gang : anchor_.fenced()) {
      if (members_.Holds(gang)) members_.On(release{gang});
      members_.FenceOff(gang);
    }
    anchor_.fenced().clear();
    std::vector<worker_action> collected;
    collected.swap(anchor_.actions());
    for (auto& action : members_.actions()) collected.push_back(std::move(action));
    members_.actions().clear();
    for (auto& action : collected) Route(std::move(action));
    if (local_messages_.empty()) return;
    const peer_said own = std::move(local_messages_.front());
    local_messages_.pop_front();
    if (const auto* arm = std::get_if<gang_arm>(&own.message)) {
      local_messages_.push_back({options_.agent, members_.On(*arm)});
    } else {
      OnGangMessage(own.peer, own.message);
    }
  }
}

void worker_core::Route(worker_action action) {
  if (std::holds_alternative<start_tasks>(action)) ++stats_.started;
  auto* send = std::get_if<send_to_peer>(&action);
  if (send == nullptr) {
    actions_->push_back(std::move(action));
    return;
  }
  if (send->peer == options_.agent) {
    local_messages_.push_back({options_.agent, std::move(send->message)});
    return;
  }
  if (!send->peer.empty()) {
    actions_->push_back(std::move(action));
    return;
  }
  for (const auto& [entry, connected] : entries_) {
    if (connected) actions_->push_back(send_to_peer{entry, send->message});
  }
}

worker_stats worker_core::stats() const {
  worker_stats now = stats_;
  now.parts = static_cast<int>(members_.parts().size());
  now.anchored = static_cast<int>(anchor_.size());
  return now;
}

}  // namespace eelgrass
