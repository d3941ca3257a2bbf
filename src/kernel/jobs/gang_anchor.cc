#include "kernel/jobs/gang_anchor.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kRenewal{1000};
constexpr millis kFastRenewal{200};  // until the gate is opened
constexpr millis kArmTimeout{2000};
constexpr millis kStartTimeout{5000};
constexpr millis kStopMargin{3000};    // beyond the checkpoint, for the members' answers
constexpr millis kReportRepeat{1000};  // of an unacknowledged final report
constexpr millis kRunningReport{20000};
constexpr millis kConcludedRetention{3600000};

bool IsFinalState(gang_state state) {
  return state == gang_state::kFinished || state == gang_state::kFailed ||
         state == gang_state::kStopped || state == gang_state::kBarred;
}

}  // namespace

gang_anchor::gang_anchor(std::string self) : self_(std::move(self)) {}

void gang_anchor::On(const commit& message, bool holds) {
  if (gangs_.contains(message.gang) || concluded_.contains(message.gang)) return;
  gang item;
  item.order = message;
  item.since = now_;
  if (!holds) {
    Conclude(message.gang, gangs_[message.gang] = std::move(item), gang_state::kBarred);
    fenced_.push_back(message.gang);
    return;
  }
  for (const auto& who : message.members) {
    member_state member;
    member.who = who;
    member.last_message_at = now_;
    item.members.push_back(std::move(member));
    if (who.agent != self_) actions_.push_back(dial_peer{who.address});
  }
  Renew(message.gang, gangs_[message.gang] = std::move(item));
}

gang_anchor::member_state* gang_anchor::FindMember(gang& item, std::string_view agent) {
  const auto found = std::find_if(item.members.begin(), item.members.end(),
                                  [agent](const auto& m) { return m.who.agent == agent; });
  return found == item.members.end() ? nullptr : &*found;
}

void gang_anchor::Broadcast(const gang& item, const peer_message& message) {
  for (const auto& member : item.members) {
    if (!member.done) Send(member.who.agent, message);
  }
}

void gang_anchor::On(const std::string& member, const gang_armed& message) {
  const auto found = gangs_.find(message.gang);
  if (found == gangs_.end() || found->second.state != gang_state::kArming) return;
  gang& item = found->second;
  member_state* from = FindMember(item, member);
  if (from == nullptr) return;
  from->last_message_at = now_;
  if (!message.armed) {
    Stop(message.gang, item, millis(0), "member " + member + " could not arm: " + message.reason);
    return;
  }
  from->armed = true;
  const bool all =
      std::all_of(item.members.begin(), item.members.end(), [](const auto& m) { return m.armed; });
  if (all) Start(message.gang, item);
}

void gang_anchor::Start(const gang_id& id, gang& item) {
  item.state = gang_state::kStarting;
  item.since = now_;
  Renew(id, item);
}

void gang_anchor::On(const std::string& member, const gang_started& message) {
  const auto found = gangs_.find(message.gang);
  if (found == gangs_.end() || found->second.state != gang_state::kStarting) return;
  gang& item = found->second;
  member_state* from = FindMember(item, member);
  if (from == nullptr) return;
  from->last_message_at = now_;
  if (!message.started) {
    from->done = true;
    Fail(message.gang, item, member, "did not start: " + message.reason);
    return;
  }
  from->started = true;
  const bool all = std::all_of(item.members.begin(), item.members.end(),
                               [](const auto& m) { return m.started; });
  if (all) Open(message.gang, item);
}

void gang_anchor::Open(const gang_id& id, gang& item) {
  item.state = gang_state::kRunning;
  item.since = now_;
  item.opened = now_;
  Renew(id, item);
  Report(id, item, {});
}

void gang_anchor::Renew(const gang_id& id, gang& item) {
  const bool running = item.state == gang_state::kRunning;
  item.next_renewal = now_ + (running ? kRenewal : kFastRenewal);
  const int64_t lease = kGangLease.count();
  // The connection to a member may not be established yet, so orders repeat until confirmed.
  switch (item.state) {
    case gang_state::kArming:
      Broadcast(item, gang_arm{id, self_, lease, item.order.run_ms, item.order.fails});
      return;
    case gang_state::kStarting:
      Broadcast(item, gang_start{id, lease});
      return;
    default:
      Broadcast(item, gang_renew{id, lease, running});
      return;
  }
}

void gang_anchor::On(const std::string& member, const gang_renewed& message) {
  const auto found = gangs_.find(message.gang);
  if (found == gangs_.end()) return;
  member_state* from = FindMember(found->second, member);
  if (from != nullptr) from->last_message_at = now_;
}

void gang_anchor::On(const std::string& member, const gang_member_done& message) {
  const auto found = gangs_.find(message.gang);
  if (found == gangs_.end() || IsFinalState(found->second.state)) return;
  gang& item = found->second;
  member_state* from = FindMember(item, member);
  if (from == nullptr || from->done) return;
  from->last_message_at = now_;
  from->done = true;
  from->success = message.success;
  from->saved = message.reason == "saved";
  const bool stopping = item.state == gang_state::kStopping;
  if (!message.success && !stopping) {
    Fail(message.gang, item, member, message.reason);
    return;
  }
  CheckEnd(message.gang, item);
}

void gang_anchor::CheckEnd(const gang_id& id, gang& item) {
  const bool all =
      std::all_of(item.members.begin(), item.members.end(), [](const auto& m) { return m.done; });
  if (!all) return;
  const bool success = std::all_of(item.members.begin(), item.members.end(),
                                   [](const auto& m) { return m.success; });
  if (success) {
    Conclude(id, item, gang_state::kFinished);
  } else {
    Conclude(id, item, item.failed ? gang_state::kFailed : gang_state::kStopped);
  }
}

void gang_anchor::Fail(const gang_id& id, gang& item, std::string_view worker,
                       std::string_view reason) {
  item.failed = true;
  item.failed_worker = worker;
  Stop(id, item, millis(0), reason);
}

void gang_anchor::Stop(const gang_id& id, gang& item, millis checkpoint, std::string_view reason) {
  if (IsFinalState(item.state)) return;
  if (item.state == gang_state::kStopping) {
    // A later stop with less time for its checkpoint shortens the stop in progress.
    item.stop_deadline = std::min(item.stop_deadline, now_ + checkpoint + kStopMargin);
    return;
  }
  item.state = gang_state::kStopping;
  item.since = now_;
  item.reason = reason;
  item.stop_deadline = now_ + checkpoint + kStopMargin;
  Broadcast(item, gang_stop{id, checkpoint.count(), std::string(reason)});
  CheckEnd(id, item);
}

void gang_anchor::On(const gang_stop& message) {
  const auto found = gangs_.find(message.gang);
  if (found == gangs_.end()) return;
  Stop(message.gang, found->second, millis(message.checkpoint_ms), message.reason);
}

void gang_anchor::StopAll(std::string_view reason, millis checkpoint) {
  for (auto& [id, item] : gangs_) Stop(id, item, checkpoint, reason);
}

void gang_anchor::Conclude(const gang_id& id, gang& item, gang_state state) {
  item.state = state;
  item.since = now_;
  gang_report& report = item.report;
  report.gang = id;
  report.state = state;
  report.reason = item.reason;
  report.failed_worker = item.failed_worker;
  if (item.opened > millis(0)) report.ran_ms = (now_ - item.opened).count();
  const bool saved = state == gang_state::kStopped && !item.members.empty() &&
                     std::all_of(item.members.begin(), item.members.end(),
                                 [](const auto& m) { return m.saved || m.success; });
  report.saved_ms = saved ? report.ran_ms : 0;
  Report(id, item, {});
}

void gang_anchor::Report(const gang_id& id, gang& item, const std::string& entry) {
  const bool ended = IsFinalState(item.state);
  item.next_report = now_ + (ended ? kReportRepeat : kRunningReport);
  gang_report report = item.report;
  if (!ended) {
    report.gang = id;
    report.state = item.state;
    if (item.opened > millis(0)) report.ran_ms = (now_ - item.opened).count();
  }
  Send(entry, std::move(report));
}

void gang_anchor::On(const gang_report_ack& message) {
  const auto found = gangs_.find(message.gang);
  if (found == gangs_.end() || !IsFinalState(found->second.state)) return;
  const std::vector<member_state> members = std::move(found->second.members);
  gangs_.erase(found);
  concluded_[message.gang] = now_ + kConcludedRetention;
  for (const auto& member : members) {
    if (member.who.agent != self_ && !HasMember(member.who.agent)) {
      actions_.push_back(undial_peer{member.who.address});
    }
  }
}

bool gang_anchor::HasMember(std::string_view agent) const {
  return std::any_of(gangs_.begin(), gangs_.end(), [agent](const auto& entry) {
    const auto& members = entry.second.members;
    return std::any_of(members.begin(), members.end(),
                       [agent](const auto& m) { return m.who.agent == agent; });
  });
}

void gang_anchor::On(const std::string& entry, const gang_query& message, bool holds) {
  const auto found = gangs_.find(message.gang);
  if (found != gangs_.end()) {
    Report(message.gang, found->second, entry);
    return;
  }
  // The commit has not arrived. The gang is fenced, which releases its reservation here.
  if (holds || !concluded_.contains(message.gang)) fenced_.push_back(message.gang);
  gang_report report;
  report.gang = message.gang;
  report.state = gang_state::kBarred;
  report.reason = "the start was not committed here";
  concluded_.try_emplace(message.gang, now_ + kConcludedRetention);
  Send(entry, std::move(report));
}

bool gang_anchor::all_concluded() const {
  return std::all_of(gangs_.begin(), gangs_.end(),
                     [](const auto& entry) { return IsFinalState(entry.second.state); });
}

void gang_anchor::Tick() {
  for (auto& [id, item] : gangs_) TickGang(id, item);
  std::erase_if(concluded_, [this](const auto& entry) { return entry.second <= now_; });
}

void gang_anchor::TickGang(const gang_id& id, gang& item) {
  if (now_ >= item.next_report && (IsFinalState(item.state) || item.opened > millis(0))) {
    Report(id, item, {});
  }
  if (IsFinalState(item.state)) return;
  const bool arming_late = item.state == gang_state::kArming && now_ - item.since >= kArmTimeout;
  const bool starting_late =
      item.state == gang_state::kStarting && now_ - item.since >= kStartTimeout;
  if (arming_late || starting_late) Stop(id, item, millis(0), "not all members answered in time");
  if (item.state == gang_state::kStopping) {
    // Members that do not answer have stopped by themselves when their lease expired.
    const bool timed_out = now_ >= item.stop_deadline + kGangLease;
    if (timed_out) Conclude(id, item, item.failed ? gang_state::kFailed : gang_state::kStopped);
    if (timed_out) return;
    if (now_ >= item.next_renewal) {
      item.next_renewal = now_ + kRenewal;
      const millis left = std::max(millis(0), item.stop_deadline - kStopMargin - now_);
      Broadcast(item, gang_stop{id, left.count(), item.reason});
    }
    return;
  }
  for (const auto& member : item.members) {
    if (member.done || now_ - member.last_message_at < kGangLease) continue;
    const std::string reason = "member " + member.who.agent + " was lost";
    Stop(id, item, millis(0), reason);
    return;
  }
  const millis limit(item.order.limit_ms);
  if (item.state == gang_state::kRunning && limit > millis(0) && now_ - item.opened >= limit) {
    Stop(id, item, millis(0), "time limit");
    return;
  }
  if (now_ >= item.next_renewal) Renew(id, item);
}

void gang_anchor::Send(std::string_view peer, peer_message message) {
  actions_.push_back(send_to_peer{std::string(peer), std::move(message)});
}

}  // namespace eelgrass
