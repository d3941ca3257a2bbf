#include "kernel/batch/term_election.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Wait after the planner disconnects: its connections may only have been reset. */
constexpr millis kReconnectGrace{100};

/** A holder that has not rewritten the row for this long is considered to have failed. */
constexpr millis kRewriteTimeout{1250};

/** A holder without a confirmed write for this long requests a takeover. */
constexpr millis kStoreLost{2300};

/** Wait of each place in the order of claims: a claim and its notice to the others, and a tick. */
constexpr millis kClaimInterval{60};

/** The last places in the order claim together. */
constexpr int kClaimPlaces = 5;

/** A process that has not heard of a planner claims nothing before it can have met the others. */
constexpr millis kMeetingTime{300};

/** An entry can reach the store if it had an answer within this time. */
constexpr millis kStoreContactTimeout{3000};

}  // namespace

term_election::term_election(term_candidate self, const batch_record_codec& codec)
    : node_(std::move(self.node)),
      nonce_(std::move(self.nonce)),
      processor_(self.processor),
      codec_(codec) {}

row_key term_election::Row() const {
  return {std::string(kTermTable), "", std::string(kHolderKey)};
}

const row* term_election::FindRow(std::span<const row> rows) const {
  const auto found = std::find_if(rows.begin(), rows.end(),
                                  [this](const row& entry) { return entry.at == Row(); });
  return found == rows.end() ? nullptr : &*found;
}

bool term_election::PlannerAlive() const {
  return holder_notified_ && connected_.contains(holder_) && !holder_store_lost_;
}

/** How long this entry lets the connected entries claim first that precede it. */
millis term_election::ClaimDelay() const {
  const auto before = std::count_if(connected_.begin(), connected_.end(), [this](const auto& one) {
    const auto& [id, processor] = one;
    return id != holder_ && std::pair(-processor, id) < std::pair(-processor_, node_);
  });
  return kClaimInterval * std::min<int64_t>(before, kClaimPlaces);
}

bool term_election::TermValid(millis now) const {
  return holding_ && now - confirmed_ < kTermValidity;
}

bool term_election::store_lost(millis now) const {
  return holding_ && now - confirmed_ > kStoreLost;
}

std::optional<store_request> term_election::Next(millis now) {
  if (!started_) started_ = now;
  if (fence_ == 0 && now < *started_ + kMeetingTime) return std::nullopt;
  if (holding_ || call_pending_ || now < next_) return std::nullopt;
  if (step_ == step::kTaking && PlannerAlive()) step_ = step::kWatching;
  if (step_ == step::kWatching) {
    if (PlannerAlive()) return std::nullopt;
    const bool takeover_requested =
        holder_store_lost_ && now - store_contact_ < kStoreContactTimeout;
    if (!takeover_requested && now - no_planner_since_ < kReconnectGrace) return std::nullopt;
    step_ = step::kReading;
    observed_.reset();
  }
  call_pending_ = true;
  sent_ = now;
  store_request request;
  request.timeout = kStoreTimeout;
  if (step_ != step::kTaking) {
    request.call = row_range{std::string(kTermTable), "", std::string(kHolderKey)};
    return request;
  }
  row_transaction change;
  change.conditions.push_back({Row(), revision_});
  change.writes.push_back({Row(), codec_.Encode(term_record{node_, nonce_, 0, 0, 0})});
  change.writes.push_back({EpochRow(), node_});
  request.call = std::move(change);
  return request;
}

void term_election::On(const store_reply& reply, millis now) {
  call_pending_ = false;
  if (holding_) return;
  if (const auto* rows = std::get_if<rows_result>(&reply.answer)) {
    OnRead(*rows, now);
  } else {
    OnTaken(std::get<transaction_result>(reply.answer), now);
  }
}

void term_election::OnRead(const rows_result& answer, millis now) {
  if (answer.outcome != row_outcome::kDone) {
    next_ = now + kStoreRetryPause;
    return;
  }
  OnStoreContact(sent_);
  clock_.Update(answer.store_now, sent_);
  if (PlannerAlive()) {
    step_ = step::kWatching;
    return;
  }
  EvaluateRow(FindRow(answer.rows), now);
}

void term_election::BeginTakeover(const term_record& record, std::string_view reason, millis now) {
  step_ = step::kTaking;
  next_ = now + ClaimDelay();
  const auto written = record.sent_ms > 0 ? clock_.OwnAt(millis(record.sent_ms)) : std::nullopt;
  log_event("term-claimed")
      .With("holder", record.holder)
      .With("term", record.fence)
      .With("revision", revision_)
      .With("written_ago_ms", written ? (now - *written).count() : -1)
      .With("delay_ms", ClaimDelay().count())
      .With("reason", reason);
}

/** Decides from the row whether to take over now or to read it again later. */
void term_election::EvaluateRow(const row* found, millis now) {
  term_record record;
  revision_ = found == nullptr ? 0 : found->revision;
  if (found != nullptr) {
    const auto read = codec_.DecodeTerm(found->value);
    if (read) record = read.value();
  }
  // What is known of a holder is about its term: a row of a later one is another planner's.
  const bool same_term =
      record.holder == holder_ && (record.fence == fence_ || revision_ == fence_);
  const bool left = same_term && (holder_store_lost_ || holder_ended_);
  const bool abandoned = record.holder.empty() || record.holder == node_ || left;
  if (abandoned) return BeginTakeover(record, "the holder ended or gave it up", now);
  if (observed_ && *observed_ == revision_ && now - observed_at_ >= kRewriteTimeout) {
    return BeginTakeover(record, "it was not rewritten", now);
  }
  if (!observed_ || *observed_ != revision_) {
    observed_ = revision_;
    observed_at_ = sent_;
    // The row states when it was written, which shortens the observation from now on.
    if (record.sent_ms > 0) {
      observed_at_ = std::min(sent_, clock_.OwnAt(millis(record.sent_ms)).value_or(sent_));
    }
    if (now - observed_at_ >= kRewriteTimeout) {
      return BeginTakeover(record, "it was not rewritten", now);
    }
  }
  step_ = step::kObserving;
  next_ = observed_at_ + kRewriteTimeout;
}

void term_election::OnTaken(const transaction_result& answer, millis now) {
  clock_.Update(answer.store_now, sent_);
  if (answer.outcome == row_outcome::kDone) return BecomeHolder(answer.revision, now);
  if (answer.outcome != row_outcome::kConflict) {
    next_ = now + kStoreRetryPause;
    return;
  }
  OnStoreContact(sent_);
  const row* found = FindRow(answer.current);
  if (found == nullptr) {
    step_ = step::kReading;
    return;
  }
  const auto record = codec_.DecodeTerm(found->value);
  // An earlier try of this takeover succeeded and its answer was lost.
  if (record && record.value().nonce == nonce_ && record.value().fence == 0) {
    return BecomeHolder(found->revision, now);
  }
  step_ = step::kWatching;
  no_planner_since_ = now;
}

void term_election::BecomeHolder(int64_t revision, millis now) {
  holding_ = true;
  step_ = step::kWatching;
  fence_ = revision;
  revision_ = revision;
  write_count_ = 0;
  holder_ = node_;
  holder_notified_ = true;
  holder_store_lost_ = false;
  confirmed_ = sent_;
  log_event("term-taken").With("term", fence_).With("took_ms", (now - sent_).count());
}

void term_election::OnConnected(std::string_view entry, double processor, millis) {
  connected_[std::string(entry)] = processor;
  if (entry == holder_) holder_ended_ = false;
}

void term_election::OnDisconnected(std::string_view entry, millis now) {
  connected_.erase(std::string(entry));
  if (entry != holder_ || holding_) return;
  no_planner_since_ = now;
}

void term_election::OnProcessEnded(std::string_view entry, millis now) {
  if (holding_ || entry != holder_ || connected_.contains(holder_) || holder_ended_) return;
  holder_ended_ = true;
  next_ = now;
  no_planner_since_ = std::min(no_planner_since_, now - kReconnectGrace);
  log_event("planner-ended").With("planner", entry);
}

void term_election::OnNotice(std::string_view entry, const planner_notice& notice, millis now) {
  if (holding_) {
    if (notice.term > fence_) {
      StepDown("another entry plans", now);
    } else {
      return;
    }
  }
  if (notice.term < fence_) return;
  fence_ = notice.term;
  holder_store_lost_ = notice.store_lost;
  if (notice.planner == entry) {
    holder_ = entry;
    holder_ended_ = false;
    holder_notified_ = true;
    if (!holder_store_lost_ && step_ != step::kTaking) step_ = step::kWatching;
    return;
  }
  if (holder_ == entry && notice.planner.empty()) {
    holder_.clear();
    holder_notified_ = false;
    no_planner_since_ = now - kReconnectGrace;
  }
}

void term_election::Guard(row_transaction& change, bool hand_over, millis now) {
  ++write_count_;
  change.conditions.push_back({Row(), revision_});
  const int64_t sent_ms = clock_.StoreAt(now).value_or(millis(0)).count();
  const term_record record{hand_over ? std::string() : node_, nonce_, fence_, write_count_,
                           sent_ms};
  change.writes.push_back({Row(), codec_.Encode(record)});
}

void term_election::RefreshGuard(row_transaction& change) const {
  for (auto& condition : change.conditions) {
    if (condition.at == Row()) condition.revision = revision_;
  }
}

term_write term_election::OnWritten(const transaction_result& result, millis sent) {
  clock_.Update(result.store_now, sent);
  if (result.outcome == row_outcome::kDone) {
    revision_ = result.revision;
    confirmed_ = std::max(confirmed_, sent);
    OnStoreContact(sent);
    return term_write::kDone;
  }
  if (result.outcome != row_outcome::kConflict) return term_write::kTryAgain;
  const row* found = FindRow(result.current);
  if (found == nullptr) return term_write::kLost;
  const auto record = codec_.DecodeTerm(found->value);
  const bool own = record && record.value().nonce == nonce_ &&
                   (record.value().fence == fence_ || record.value().fence == 0);
  if (!own) return term_write::kLost;
  revision_ = found->revision;
  if (record.value().write < write_count_) return term_write::kTryAgain;
  confirmed_ = std::max(confirmed_, sent);
  return term_write::kDone;
}

void term_election::StepDown(std::string_view reason, millis now) {
  if (!holding_) return;
  log_event("term-lost", log_level::kWarning)
      .With("term", fence_)
      .With("confirmed_ago_ms", (now - confirmed_).count())
      .With("reason", reason);
  holding_ = false;
  holder_.clear();
  holder_notified_ = false;
  holder_store_lost_ = false;
  no_planner_since_ = now;
  step_ = step::kWatching;
}

}  // namespace eelgrass
