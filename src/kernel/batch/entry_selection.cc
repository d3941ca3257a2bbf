#include "kernel/batch/entry_selection.h"

#include <algorithm>

#include "kernel/base/digest.h"

namespace eelgrass {
namespace {

/**
 * Entries besides the planner. A planner that an agent has to dial first hears of its worker later,
 * by seconds on links that lose packets, and its recovery waits for all workers. So a deployment of
 * a dozen entries stays connected to all of them.
 */
constexpr size_t kStandbyEntries = 12;

/**
 * Without a connection to the planner for this long, the connected entries may not know the next
 * one. A change of the planner takes less.
 */
constexpr millis kPlannerTimeout{1500};

/** A new connection takes a few round trips, so that a missing one is replaced after this. */
constexpr millis kReviewInterval{500};

}  // namespace

entry_selection::entry_selection(std::string agent, std::vector<std::string> seeds)
    : agent_(std::move(agent)), seeds_(std::move(seeds)) {}

void entry_selection::OnNotice(const planner_notice& notice) {
  if (notice.term < term_ || notice.entries.empty()) return;
  term_ = notice.term;
  planner_ = notice.planner.empty() ? std::string() : notice.entries.front();
  ranked_.clear();
  for (const auto& address : notice.entries) {
    ranked_.emplace_back(Sha256Prefix(agent_ + "\n" + address), address);
  }
  std::sort(ranked_.begin(), ranked_.end());
  reach_ = std::min(reach_, ranked_.size());
}

void entry_selection::OnConnected(std::string_view entry, std::string_view address) {
  connected_[std::string(entry)] = address;
}

void entry_selection::OnDisconnected(std::string_view entry) {
  if (const auto found = connected_.find(entry); found != connected_.end()) connected_.erase(found);
}

bool entry_selection::IsConnected(std::string_view address) const {
  return std::any_of(connected_.begin(), connected_.end(),
                     [address](const auto& entry) { return entry.second == address; });
}

/** Number of connected entries besides the planner among the first ones of the order. */
size_t entry_selection::LiveStandbys(size_t reach) const {
  const auto end = ranked_.begin() + static_cast<std::ptrdiff_t>(reach);
  return static_cast<size_t>(std::count_if(ranked_.begin(), end, [this](const auto& candidate) {
    return candidate.second != planner_ && IsConnected(candidate.second);
  }));
}

/** Reaches further while entries or the planner are missing, and back when they have returned. */
void entry_selection::AdjustReach(millis now) {
  if (IsConnected(planner_)) planner_seen_ = now;
  const bool planner_missing = now - planner_seen_ > kPlannerTimeout;
  const size_t live = planner_missing ? 0 : LiveStandbys(reach_);
  if (live < kStandbyEntries) {
    reach_ = std::min(ranked_.size(), reach_ + kStandbyEntries - live);
    return;
  }
  while (LiveStandbys(reach_ - 1) >= kStandbyEntries) --reach_;
}

void entry_selection::DialMissing(link_changes& changes) {
  const auto dial = [&](const std::string& address) {
    if (dialled_.insert(address).second) changes.dial.push_back(address);
  };
  if (!planner_.empty()) dial(planner_);
  for (size_t i = 0; i < reach_; ++i) dial(ranked_[i].second);
  if (connected_.empty()) std::for_each(seeds_.begin(), seeds_.end(), dial);
}

/** Gives up what is not wanted, once all that is wanted is connected. */
void entry_selection::UndialSurplus(link_changes& changes) {
  if (!IsConnected(planner_) || LiveStandbys(reach_) < kStandbyEntries) return;
  const auto end = ranked_.begin() + static_cast<std::ptrdiff_t>(reach_);
  std::erase_if(dialled_, [&](const std::string& address) {
    const bool wanted =
        address == planner_ || std::any_of(ranked_.begin(), end, [&](const auto& candidate) {
          return candidate.second == address;
        });
    if (!wanted) changes.undial.push_back(address);
    return !wanted;
  });
}

link_changes entry_selection::Next(millis now) {
  link_changes changes;
  if (now >= next_) {
    next_ = now + kReviewInterval;
    AdjustReach(now);
    UndialSurplus(changes);
  }
  DialMissing(changes);
  return changes;
}

}  // namespace eelgrass
