#include "kernel/batch/store_health.h"

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** The store counts as unavailable after this many failed calls in a row; one call may fail. */
constexpr int kLostAfterCalls = 2;

}  // namespace

void store_health::RecordOutcome(row_outcome outcome, millis now) {
  const bool unknown = outcome == row_outcome::kUnknown;
  if (unknown || outcome == row_outcome::kNotDone) return RecordUnserved(unknown, now);
  if (unserved_calls_ >= kLostAfterCalls) {
    log_event("store-regained")
        .With("unserved_ms", Unserved(now).count())
        .With("unserved_calls", unserved_calls_);
  }
  *this = store_health{};
}

void store_health::RecordUnserved(bool unknown, millis now) {
  if (!unserved_since_) unserved_since_ = now;
  silent_ = silent_ || unknown;
  if (++unserved_calls_ != kLostAfterCalls) return;
  log_event("store-lost", log_level::kWarning)
      .With("unserved_ms", Unserved(now).count())
      .With("silent", silent_ ? 1 : 0);
}

millis store_health::Unserved(millis now) const {
  return unserved_since_ ? now - *unserved_since_ : millis(0);
}

}  // namespace eelgrass
