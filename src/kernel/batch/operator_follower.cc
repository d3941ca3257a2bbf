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
    const millis wait = wait_policy_.NextWait();
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
  call_pending_ = false;
  next_ = now;
  LogAnswer(answer, now);
  wait_policy_.RecordOutcome(answer.outcome == row_outcome::kDone);
  if (answer.outcome == row_outcome::kHistoryGone) {
    log_event("operator-feed-history-gone").With("after", revision_.value_or(0));
    revision_.reset();
    resume_key_.clear();
    return;
  }
  if (answer.outcome != row_outcome::kDone) {
    next_ = now + kStoreRetryPause;
    return;
  }
  if (revision_) {
    for (const auto& change : answer.rows) Apply(change, now);
    *revision_ = std::max(*revision_, answer.revision);
    // An answer without changes means that the store waited for the whole wait time.
    confirmed_ =
        std::max(confirmed_, answer.rows.empty() ? wait_policy_.ConfirmedUntil(sent_) : sent_);
    return;
  }
  for (const auto& found : answer.rows) {
    const auto applied = source_.Apply(found, now, loading_);
    if (!applied) LogRefused(found, applied.error());
  }
  if (answer.more && !answer.rows.empty()) {
    resume_key_ = answer.rows.back().at.key + '!';
    return;
  }
  resume_key_.clear();
  revision_ = answer.revision;
  if (loading_.config == nullptr || loading_.config_revision < state_.config_revision) {
    loading_.config = state_.config;
    loading_.config_revision = state_.config_revision;
  }
  state_ = loading_;
  confirmed_ = std::max(confirmed_, sent_);
  ++changes_;
  log_event("operator-table-read")
      .With("revision", answer.revision)
      .With("config_revision", state_.config_revision)
      .With("version", version())
      .With("took_ms", (now - sent_).count());
}

void operator_follower::Adopt(const row& change, millis now) {
  if (change.at == source_.config_row()) Apply(change, now);
}

void operator_follower::Apply(const row& change, millis now) {
  const int64_t version_before = version();
  const auto applied = source_.Apply(change, now, state_);
  if (!applied) return LogRefused(change, applied.error());
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

void operator_follower::LogRefused(const row& change, const error& problem) {
  log_event("operator-row-refused", log_level::kWarning)
      .With("key", change.at.key)
      .With("revision", change.revision)
      .With("detail", problem.detail);
}

/** Logs the first failed call in a row, the call that ends such a row, and answers that are late.
 */
void operator_follower::LogAnswer(const rows_result& answer, millis now) {
  const millis took = now - sent_;
  const bool served =
      answer.outcome == row_outcome::kDone || answer.outcome == row_outcome::kHistoryGone;
  if (!answer.detail.empty() && served) {
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
