#include "kernel/requests/upstream_core.h"

#include <algorithm>

#include "kernel/base/digest.h"
#include "kernel/requests/upstream_table.h"

namespace eelgrass {
namespace {

constexpr millis kMaxDeadline{120000};
constexpr millis kTombstoneLifetime{240000};  // twice the longest deadline
constexpr millis kAcknowledgedLifetime{10000};
constexpr millis kUnacknowledgedLifetime{240000};
constexpr millis kKeyLifetime{600000};
constexpr millis kExpiryInterval{1000};
constexpr size_t kMaxRecords = 100000;
constexpr size_t kMaxClaims = 100000;
constexpr size_t kMaxAnswerBytes = 24 << 20;
constexpr size_t kMaxWaitingPerSlot = 4;
constexpr double kServiceTimeSmoothing = 0.1;
// An attempt starts only if the time left exceeds this multiple of the mean service time.
constexpr double kServiceTimeFactor = 1.5;

/** Upper limit of the share of each demand when `total` is divided max-min fairly. */
int FairShare(std::vector<int> demands, int total) {
  std::sort(demands.begin(), demands.end());
  auto unsatisfied = static_cast<int>(demands.size());
  int share = total;
  for (const int wanted : demands) {
    share = total / unsatisfied;
    if (wanted >= share) break;
    total -= wanted;
    --unsatisfied;
  }
  return share;
}

std::string Fingerprint(const attempt& message) {
  return Sha256Hex(message.method + "\n" + message.path + "\n" + message.body.data);
}

}  // namespace

upstream_core::upstream_core(upstream_options options) : options_(std::move(options)) {}

void upstream_core::Decide(std::span<const upstream_event> events, millis now,
                           std::vector<upstream_action>& actions) {
  actions_ = &actions;
  now_ = now;
  for (const auto& event : events) {
    std::visit([this](const auto& e) { On(e); }, event);
  }
  StartQueuedAttempts();
  Expire();
  GrantCredits();
  actions_ = nullptr;
}

upstream_stats upstream_core::stats() const {
  upstream_stats now = stats_;
  now.running = running_;
  now.queued = static_cast<int>(waiting_.size());
  now.records = records_.size();
  now.answer_bytes = answer_bytes_;
  return now;
}

void upstream_core::On(const peer_up& event) {
  if (event.peer.role != peer_role::kEntry) return;
  known_entry& entry = entries_[event.peer.id];
  if (entry.incarnation != event.peer.incarnation) entry = known_entry{};
  entry.incarnation = event.peer.incarnation;
  entry.connected = true;
  entry.last_credits_sent = -1;
  SendAnnouncement(event.peer.id);
}

void upstream_core::On(const peer_down& event) {
  const auto found = entries_.find(event.peer);
  if (found != entries_.end()) found->second.connected = false;
}

void upstream_core::On(const peer_said& event) {
  if (const auto* message = std::get_if<attempt>(&event.message)) {
    OnAttempt(event.peer, *message);
  } else if (const auto* question = std::get_if<resolve>(&event.message)) {
    OnResolve(event.peer, *question);
  } else if (const auto* done = std::get_if<attempt_done>(&event.message)) {
    OnDone(*done);
  } else if (const auto* claimed = std::get_if<claim>(&event.message)) {
    OnClaim(event.peer, *claimed);
  } else if (const auto* demand = std::get_if<slot_demand>(&event.message)) {
    entries_[event.peer].demand = std::clamp(demand->wanted, 0, 2 * options_.slots);
  } else if (const auto* heartbeat = std::get_if<entry_heartbeat>(&event.message)) {
    OnHeartbeat(event.peer, *heartbeat);
  }
}

void upstream_core::On(const drain_wanted&) {
  if (draining_) return;
  draining_ = true;
  for (const auto& [id, entry] : entries_) SendAnnouncement(id);
}

void upstream_core::OnHeartbeat(const std::string& entry, const entry_heartbeat& message) {
  millis& offset = entries_[entry].clock_offset;
  offset = std::min(offset, now_ - millis(message.sent_ms));
}

void upstream_core::OnAttempt(const std::string& entry, const attempt& message) {
  const auto known = records_.find(message.id);
  if (known != records_.end()) {
    if (known->second.state == record_state::kNotRun) {
      ++stats_.rejected_by_tombstone;
      SendAnswer(entry, message.id, known->second.answer);
    }
    return;  // Duplicate: the answer is sent when the first copy has ended.
  }
  const std::string reason = RefusalReason(entry, message);
  if (!reason.empty()) {
    RefuseAttempt(entry, message.id, reason);
    return;
  }
  if (!message.key.empty() && JoinAttemptWithSameKey(entry, message)) return;
  attempt_record record;
  record.entry = entry;
  record.request = message;
  record.key = message.key;
  record.deadline_at = now_ + std::min(millis(message.deadline_ms), kMaxDeadline);
  record.expires = kFarFuture;
  if (!message.key.empty()) {
    record.fingerprint = Fingerprint(message);
    by_key_[message.key] = message.id;
  }
  records_.emplace(message.id, std::move(record));
  waiting_.push_back(message.id);
}

std::string upstream_core::RefusalReason(const std::string& entry, const attempt& message) const {
  if (draining_) return "leaving";
  const auto sender = entries_.find(entry);
  if (sender != entries_.end() && sender->second.clock_offset < kFarFuture) {
    const millis age = now_ - millis(message.sent_ms) - sender->second.clock_offset;
    if (age > millis(message.deadline_ms)) return "expired";
  }
  if (records_.size() >= kMaxRecords || answer_bytes_ >= kMaxAnswerBytes) return "records-full";
  const bool joins = !message.key.empty() && by_key_.contains(message.key);
  const size_t max_waiting = static_cast<size_t>(options_.slots) * kMaxWaitingPerSlot;
  if (!joins && waiting_.size() >= max_waiting) return "queue-full";
  if (message.key.empty()) return {};
  const auto claimed = claims_.find(message.key);
  if (claimed == claims_.end() || claimed->second.home == options_.agent) return {};
  const size_t request_end = message.id.rfind('/');
  const bool own = claimed->second.request == message.id.substr(0, request_end);
  return own ? "" : "claimed-elsewhere";
}

bool upstream_core::JoinAttemptWithSameKey(const std::string& entry, const attempt& message) {
  const auto known = by_key_.find(message.key);
  if (known == by_key_.end()) return false;
  attempt_record& first = records_.at(known->second);
  if (first.state == record_state::kNotRun) return false;
  if (first.fingerprint != Fingerprint(message)) {
    RefuseAttempt(entry, message.id, "key-used-for-another-request");
    return true;
  }
  ++stats_.joined;
  attempt_record record;
  record.entry = entry;
  record.deadline_at = now_ + kMaxDeadline;
  record.expires = now_ + kUnacknowledgedLifetime;
  const bool open = first.state == record_state::kWaiting || first.state == record_state::kRunning;
  if (open) {
    first.joined.emplace_back(entry, message.id);
    record.state = record_state::kRunning;
    record.expires = kFarFuture;
  } else {
    record.state = first.state;
    record.answer = first.answer;
    record.answer.id = message.id;
    answer_bytes_ += record.answer.body.data.size();
    SendAnswer(entry, message.id, record.answer);
  }
  records_.emplace(message.id, std::move(record));
  return true;
}

void upstream_core::RefuseAttempt(const std::string& entry, const std::string& id,
                                  std::string_view reason) {
  ++stats_.refused;
  attempt_record record;
  record.state = record_state::kNotRun;
  record.entry = entry;
  record.expires = now_ + kTombstoneLifetime;
  record.answer.id = id;
  record.answer.state = attempt_state::kNotRun;
  record.answer.reason = reason;
  SendAnswer(entry, id, record.answer);
  if (records_.size() < kMaxRecords) records_.emplace(id, std::move(record));
}

void upstream_core::OnResolve(const std::string& entry, const resolve& message) {
  const auto known = records_.find(message.id);
  if (known == records_.end()) {
    RefuseAttempt(entry, message.id, "not-received");
    return;
  }
  attempt_record& record = known->second;
  record.entry = entry;
  const bool open =
      record.state == record_state::kWaiting || record.state == record_state::kRunning;
  if (!open) {
    SendAnswer(entry, message.id, record.answer);
    return;
  }
  attempt_answer running;
  running.id = message.id;
  running.state = attempt_state::kRunning;
  Send(entry, std::move(running));
}

void upstream_core::OnDone(const attempt_done& message) {
  for (const auto& id : message.ids) {
    const auto known = records_.find(id);
    if (known == records_.end()) continue;
    attempt_record& record = known->second;
    const bool closed = record.expires != kFarFuture;
    if (!closed || !record.key.empty() || record.state == record_state::kNotRun) continue;
    answer_bytes_ -= record.answer.body.data.size();
    record.answer.body.data.clear();
    record.expires = std::min(record.expires, now_ + kAcknowledgedLifetime);
  }
}

void upstream_core::OnClaim(const std::string& entry, const claim& message) {
  claim_answer answer;
  answer.id = message.id;
  const auto here = by_key_.find(message.key);
  const bool ran_here =
      here != by_key_.end() && records_.at(here->second).state != record_state::kNotRun;
  const auto known = claims_.find(message.key);
  const bool other_request = known != claims_.end() && known->second.request != message.id;
  if (ran_here) {
    answer.state = claim_state::kHere;
  } else if (other_request) {
    answer.state = claim_state::kClaimed;
    answer.home = known->second.home;
    answer.home_incarnation = known->second.home_incarnation;
  } else if (draining_ || claims_.size() >= kMaxClaims) {
    answer.state = claim_state::kRefused;
  } else {
    claims_[message.key] = {message.id, message.home, message.home_incarnation,
                            now_ + kKeyLifetime};
    answer.state = claim_state::kGranted;
  }
  Send(entry, std::move(answer));
}

void upstream_core::StartQueuedAttempts() {
  while (running_ < options_.slots && !waiting_.empty()) {
    const std::string id = waiting_.front();
    waiting_.pop_front();
    attempt_record& record = records_.at(id);
    const millis needed(static_cast<int64_t>(mean_service_ms_ * kServiceTimeFactor));
    if (now_ + needed >= record.deadline_at) {
      attempt_answer late;
      late.state = attempt_state::kNotRun;
      late.reason = "deadline-passed";
      CompleteAttempt(id, record, std::move(late));
      continue;
    }
    ++running_;
    ++stats_.started;
    record.state = record_state::kRunning;
    actions_->push_back(call_upstream{std::move(record.request), record.deadline_at - now_});
    record.request = attempt{};
  }
}

void upstream_core::On(const upstream_done& event) {
  const auto known = records_.find(event.id);
  if (known == records_.end() || known->second.state != record_state::kRunning) return;
  --running_;
  if (event.answer.state == attempt_state::kFinished) {
    const auto service_ms = static_cast<double>(event.answer.service_ms);
    if (mean_service_ms_ == 0) mean_service_ms_ = service_ms;
    mean_service_ms_ += kServiceTimeSmoothing * (service_ms - mean_service_ms_);
  }
  CompleteAttempt(event.id, known->second, event.answer);
}

void upstream_core::CompleteAttempt(const std::string& id, attempt_record& record,
                                    attempt_answer answer) {
  answer.id = id;
  switch (answer.state) {
    case attempt_state::kFinished:
      record.state = record_state::kFinished;
      break;
    case attempt_state::kNotRun:
      record.state = record_state::kNotRun;
      break;
    default:
      record.state = record_state::kUnknown;
      break;
  }
  record.answer = std::move(answer);
  record.expires = now_ + (record.key.empty() ? kUnacknowledgedLifetime : kKeyLifetime);
  answer_bytes_ += record.answer.body.data.size();
  SendAnswer(record.entry, id, record.answer);
  for (const auto& [entry, joined_id] : record.joined) {
    attempt_record& joined = records_.at(joined_id);
    joined.state = record.state;
    joined.answer = record.answer;
    joined.answer.id = joined_id;
    joined.expires = now_ + kUnacknowledgedLifetime;
    answer_bytes_ += joined.answer.body.data.size();
    SendAnswer(joined.entry, joined_id, joined.answer);
  }
  record.joined.clear();
}

void upstream_core::SendAnswer(const std::string& entry, const std::string& id,
                               const attempt_answer& answer) {
  attempt_answer reply = answer;
  reply.id = id;
  Send(entry, std::move(reply));
}

void upstream_core::Expire() {
  if (now_ < next_expiry_) return;
  next_expiry_ = now_ + kExpiryInterval;
  std::erase_if(records_, [this](const auto& entry) {
    const attempt_record& record = entry.second;
    if (record.expires > now_) return false;
    answer_bytes_ -= record.answer.body.data.size();
    const auto keyed = by_key_.find(record.key);
    if (keyed != by_key_.end() && keyed->second == entry.first) by_key_.erase(keyed);
    return true;
  });
  std::erase_if(claims_, [this](const auto& entry) { return entry.second.expires <= now_; });
}

void upstream_core::GrantCredits() {
  std::vector<int> demands;
  int demand = 0;
  for (const auto& [id, entry] : entries_) {
    if (!entry.connected) continue;
    demands.push_back(entry.demand);
    demand += entry.demand;
  }
  if (demands.empty()) return;
  // Some requests queue at the agent, so that a freed slot needs no round trip to an entry.
  const int total = options_.slots + std::max(1, options_.slots / kSlotsPerQueuedRequest);
  const auto connected = static_cast<int>(demands.size());
  const int share = FairShare(std::move(demands), total);
  const int spare = std::max(0, total - demand) / connected;
  for (auto& [id, entry] : entries_) {
    if (!entry.connected) continue;
    const int wanted = demand <= total ? entry.demand + spare : std::min(entry.demand, share);
    // An entry always has one credit, so that its first request does not wait for a grant.
    const int credits = draining_ ? 0 : std::max(1, wanted);
    if (credits == entry.last_credits_sent) continue;
    entry.last_credits_sent = credits;
    Send(id, slot_credit{credits});
  }
}

void upstream_core::SendAnnouncement(const std::string& entry) {
  announce announcement;
  announcement.service = options_.service;
  announcement.slots = options_.slots;
  announcement.leaving = draining_;
  Send(entry, std::move(announcement));
}

void upstream_core::Send(std::string_view peer, peer_message message) {
  actions_->push_back(send_to_peer{std::string(peer), std::move(message)});
}

}  // namespace eelgrass
