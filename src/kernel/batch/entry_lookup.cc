#include "kernel/batch/entry_lookup.h"

#include <algorithm>

#include "kernel/base/digest.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** A change of the planner takes less. */
constexpr millis kFirstWait{1500};

/** The first readings of all agents are spread over this time. */
constexpr millis kFirstSpread{2000};

/** Waits between readings; each is doubled, up to the longest. Half of a wait is spread. */
constexpr millis kShortestPause{2000};
constexpr millis kLongestPause{8000};
constexpr int64_t kMostDoublings = 2;

/** Reading the settings costs no call. */
constexpr millis kReloadInterval{2000};

}  // namespace

void entry_lookup::Update(std::optional<millis> missing_since, millis now) {
  if (missing_since.has_value() == missing_) return;
  missing_ = missing_since.has_value();
  if (!missing_) return;
  tries_ = 0;
  next_reload_ = *missing_since + kFirstWait;
  next_reading_ = std::max(now, next_reload_ + Spread(kFirstSpread));
}

/** A part of a time that differs between agents and between the readings of one agent. */
millis entry_lookup::Spread(millis most) const {
  const uint64_t drawn = Sha256Prefix(agent_ + "\n" + std::to_string(readings_));
  return millis(static_cast<int64_t>(drawn % static_cast<uint64_t>(most.count())));
}

std::optional<store_request> entry_lookup::NextCall(millis now) {
  const bool due = reading_ || (missing_ && now >= next_reading_);
  if (call_pending_ || !due) return std::nullopt;
  call_pending_ = true;
  return table_.NextCall();
}

std::optional<reload_seeds> entry_lookup::NextReload(millis now) {
  if (!missing_ || now < next_reload_) return std::nullopt;
  next_reload_ = now + kReloadInterval;
  return reload_seeds{};
}

std::optional<std::vector<std::string>> entry_lookup::On(const rows_result& answer, millis now) {
  call_pending_ = false;
  const auto state = table_.On(answer);
  reading_ = state == entry_table_reader::state::kMore;
  if (reading_) return std::nullopt;
  EndReading(now);
  if (state == entry_table_reader::state::kFailed) {
    ++failed_;
    log_event("entries-unread", log_level::kWarning)
        .With("outcome", RowOutcomeName(answer.outcome))
        .With("detail", answer.detail)
        .With("next_ms", (next_reading_ - now).count());
    return std::nullopt;
  }
  ++completed_;
  log_event("entries-read")
      .With("entries", static_cast<int64_t>(table_.rows().size()))
      .With("next_ms", (next_reading_ - now).count());
  return EntryAddresses(table_.rows());
}

void entry_lookup::EndReading(millis now) {
  const millis pause =
      std::min(kLongestPause, kShortestPause * (int64_t{1} << std::min(tries_, kMostDoublings)));
  ++tries_;
  ++readings_;
  next_reading_ = now + pause / 2 + Spread(pause / 2);
}

}  // namespace eelgrass
