#include "kernel/batch/operator_follower.h"

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** An answer of the feed that comes this much after the longest wait is logged. */
constexpr millis kLateAnswer{500};

}  // namespace

std::optional<store_request> operator_follower::Next(millis now) {
  if (call_pending_ || now < next_) return std::nullopt;
  call_pending_ = true;
  sent_ = now;
  store_request request;
  if (revision_) {
    const millis wait = wanted_since_ ? wait_policy_.NoWait() : wait_policy_.NextWait();
    request.call = row_feed{std::string(source_.table()), *revision_, wait};
    request.timeout = wait + kStoreTimeout;
  } else {
    if (resume_key_.empty()) loading_ = operator_state{};
    request.call = row_range{std::string(source_.table()), "", resume_key_};
    request.timeout = kStoreTimeout;
  }
  return request;
}

void operator_follower::On(const rows_result& answer, millis now) {
  if (!call_pending_) return;  // the table is read again meanwhile
  call_pending_ = false;
  next_ = now;
  RecordAnswer(answer, sent_, now);
  wait_policy_.RecordOutcome(answer.outcome == row_outcome::kDone);
  if (answer.outcome == row_outcome::kHistoryGone) return Reread(now);
  Settle(sent_);
  if (answer.outcome != row_outcome::kDone) {
    failed_call_sent_ = std::max(failed_call_sent_, sent_);
    next_ = now + kStoreRetryPause;
    return;
  }
  if (revision_) {
    ApplyChanges(answer, now);
    confirmed_ =
        std::max(confirmed_, answer.rows.empty() ? wait_policy_.ConfirmedUntil(sent_, now) : sent_);
    return;
  }
  if (resume_key_.empty()) {
    // Later pages may miss a change to a row of this one: the changes are followed from here on.
    loading_revision_ = answer.revision;
    loading_sent_ = sent_;
  }
  for (const auto& found : answer.rows) {
    const auto applied = source_.Apply(found, now, loading_);
    if (!applied) NoteRefused(found, applied.error());
  }
  if (answer.more && !answer.rows.empty()) {
    resume_key_ = answer.rows.back().at.key + '!';
    return;
  }
  resume_key_.clear();
  revision_ = loading_revision_;
  if (loading_.config == nullptr || loading_.config_revision < state_.config_revision) {
    loading_.config = state_.config;
    loading_.config_revision = state_.config_revision;
  }
  state_ = loading_;
  confirmed_ = std::max(confirmed_, loading_sent_);
  ++changes_;
  log_event("operator-table-read")
      .With("revision", loading_revision_)
      .With("config_revision", state_.config_revision)
      .With("version", version())
      .With("took_ms", (now - loading_sent_).count());
}

void operator_follower::RequestConfirmation(millis now) {
  if (!wanted_since_) wanted_since_ = now;
}

std::optional<store_request> operator_follower::NextConfirmation(millis now) {
  const bool feed_waits = revision_ && call_pending_ && wait_policy_.wait() > millis(0);
  if (!wanted_since_ || confirmation_pending_ || !feed_waits) return std::nullopt;
  confirmation_pending_ = true;
  confirmation_sent_ = now;
  store_request request;
  request.call = row_feed{std::string(source_.table()), *revision_, millis(0)};
  request.timeout = kStoreTimeout;
  return request;
}

void operator_follower::OnConfirmation(const rows_result& answer, millis now) {
  confirmation_pending_ = false;
  RecordAnswer(answer, confirmation_sent_, now);
  if (!revision_) return;  // the table is read again meanwhile, which confirms more
  if (answer.outcome == row_outcome::kHistoryGone) return Reread(now);
  Settle(confirmation_sent_);
  if (answer.outcome != row_outcome::kDone) {
    failed_call_sent_ = std::max(failed_call_sent_, confirmation_sent_);
    return;
  }
  ApplyChanges(answer, now);
  confirmed_ = std::max(confirmed_, confirmation_sent_);
}

/** Has the whole table read next; a call of the feed that is still pending is ignored. */
void operator_follower::Reread(millis now) {
  log_event("operator-feed-history-gone").With("after", revision_.value_or(0));
  revision_.reset();
  resume_key_.clear();
  call_pending_ = false;
  next_ = now;
}

/** A requested confirmation is done, or has failed, with the answer to a call sent after it. */
void operator_follower::Settle(millis sent) {
  if (wanted_since_ && sent >= *wanted_since_) wanted_since_.reset();
}

void operator_follower::Adopt(const row& change, millis sent, millis now) {
  if (change.at != source_.config_row()) return;
  Apply(change, now);
  ConfirmConfig(change.revision, sent);
}

void operator_follower::ConfirmConfig(int64_t revision, millis sent) {
  if (revision == state_.config_revision) config_confirmed_ = std::max(config_confirmed_, sent);
}

/** Answers of the two calls may overtake each other: what is known already is left out. */
void operator_follower::ApplyChanges(const rows_result& answer, millis now) {
  for (const auto& change : answer.rows) {
    if (change.revision > *revision_) Apply(change, now);
  }
  *revision_ = std::max(*revision_, answer.revision);
}

void operator_follower::Apply(const row& change, millis now) {
  const bool adopted = change.at == source_.config_row() && !change.deleted &&
                       change.revision <= state_.config_revision;
  if (adopted) return;
  const int64_t version_before = version();
  const auto applied = source_.Apply(change, now, state_);
  if (!applied) return NoteRefused(change, applied.error());
  ++changes_;
  log_event("operator-change")
      .With("key", change.at.key)
      .With("revision", change.revision)
      .With("deleted", change.deleted ? 1 : 0)
      .With("version_before", version_before)
      .With("version", version());
}

int64_t operator_follower::version() const {
  return state_.config == nullptr ? 0 : state_.config->version;
}

void operator_follower::NoteRefused(const row& change, const error& problem) {
  if (change.at == source_.config_row()) {
    unread_config_revision_ = std::max(unread_config_revision_, change.revision);
  }
  log_event("operator-row-refused", log_level::kWarning)
      .With("key", change.at.key)
      .With("revision", change.revision)
      .With("detail", problem.detail);
}

/** Logs the first failed call in a row, the call that ends such a row, and answers that are late.
 */
void operator_follower::RecordAnswer(const rows_result& answer, millis sent, millis now) {
  const millis took = now - sent;
  const bool served =
      answer.outcome == row_outcome::kDone || answer.outcome == row_outcome::kHistoryGone;
  if (!answer.detail.empty() && answer.outcome == row_outcome::kDone) {
    log_event("operator-answer-unreadable", log_level::kWarning).With("detail", answer.detail);
  }
  if (!served) {
    ++failed_calls_;
    if (++failed_in_row_ > 1) return;
    log_event("operator-feed-lost", log_level::kWarning)
        .With("outcome", RowOutcomeName(answer.outcome))
        .With("took_ms", took.count())
        .With("age_ms", known() ? (now - confirmed_).count() : -1)
        .With("detail", answer.detail);
    return;
  }
  if (failed_in_row_ > 0 || took > kFeedWait + kLateAnswer) {
    log_event("operator-feed-regained")
        .With("failed_calls", failed_in_row_)
        .With("took_ms", took.count())
        .With("age_ms", known() ? (now - confirmed_).count() : -1);
  }
  failed_in_row_ = 0;
}

}  // namespace eelgrass
