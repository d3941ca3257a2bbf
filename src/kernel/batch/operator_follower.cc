#include "kernel/batch/operator_follower.h"

#include "kernel/base/log_event.h"

namespace eelgrass {

std::optional<store_request> operator_follower::Next(millis now) {
  if (waiting_ || now < next_) return std::nullopt;
  waiting_ = true;
  sent_ = now;
  store_request request;
  if (revision_) {
    const millis wait = pace_.Begin();
    request.call = row_feed{std::string(source_.table()), *revision_, wait};
    request.timeout = wait + kStoreTimeout;
  } else {
    if (continue_at_.empty()) fresh_ = operator_state{};
    request.call = row_range{std::string(source_.table()), "", continue_at_};
    request.timeout = kStoreTimeout;
  }
  return request;
}

void operator_follower::On(const rows_result& answer, millis now) {
  waiting_ = false;
  next_ = now;
  pace_.End(answer.outcome == row_outcome::kDone);
  if (answer.outcome == row_outcome::kHistoryGone) {
    log_event("operator-feed-history-gone").With("after", revision_.value_or(0));
    revision_.reset();
    continue_at_.clear();
    return;
  }
  if (answer.outcome != row_outcome::kDone) {
    next_ = now + kStoreRetryPause;
    return;
  }
  if (revision_) {
    for (const auto& change : answer.rows) Apply(change, now);
    *revision_ = std::max(*revision_, answer.revision);
    // Without changes the store has waited the whole time before it answered.
    confirmed_ = std::max(confirmed_, answer.rows.empty() ? pace_.Confirmed(sent_) : sent_);
    return;
  }
  for (const auto& found : answer.rows) {
    const auto applied = source_.Apply(found, now, fresh_);
    if (!applied) log_event("operator-row-refused").With("detail", applied.error().detail);
  }
  if (answer.more && !answer.rows.empty()) {
    continue_at_ = answer.rows.back().at.key + '!';
    return;
  }
  continue_at_.clear();
  revision_ = answer.revision;
  if (fresh_.config == nullptr || fresh_.config_revision < state_.config_revision) {
    fresh_.config = state_.config;
    fresh_.config_revision = state_.config_revision;
  }
  state_ = fresh_;
  confirmed_ = std::max(confirmed_, sent_);
  ++changes_;
}

void operator_follower::Adopt(const row& change, millis now) {
  if (change.at == source_.config_row()) Apply(change, now);
}

void operator_follower::Apply(const row& change, millis now) {
  const int64_t version = state_.config == nullptr ? 0 : state_.config->version;
  const auto applied = source_.Apply(change, now, state_);
  if (!applied) {
    log_event("operator-row-refused", log_level::kWarning)
        .With("key", change.at.key)
        .With("detail", applied.error().detail);
    return;
  }
  ++changes_;
  log_event("operator-change")
      .With("key", change.at.key)
      .With("revision", change.revision)
      .With("deleted", change.deleted ? 1 : 0)
      .With("version_before", version)
      .With("version", state_.config == nullptr ? 0 : state_.config->version);
}

}  // namespace eelgrass
