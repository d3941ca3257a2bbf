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

/** Entries of the last notice, of which some do not answer, are dialled by then. */
constexpr millis kNoticedEntriesTimeout{3000};

/** A new connection takes a few round trips, so that a missing one is replaced after this. */
constexpr millis kReviewInterval{500};

/**
 * A planner that has lost the store hands over to a connected entry that is served. If it has not
 * for this long, it may be connected to none.
 */
constexpr millis kHandoverTimeout{10000};

/** Listed addresses that are dialled together, and for how long: several tries for each. */
constexpr size_t kListedAtOnce = 12;
constexpr millis kListedTurn{3000};

/** An address that is not wanted any more is dialled for this long: its entry may only restart. */
constexpr millis kUnwantedTime{60000};

}  // namespace

entry_selection::entry_selection(std::string agent, std::vector<std::string> seeds)
    : agent_(std::move(agent)), seeds_(std::move(seeds)) {}

void entry_selection::OnNotice(std::string_view sender, const planner_notice& notice) {
  if (notice.term < term_ || notice.entries.empty()) return;
  const bool known = notice.term == term_ && notice.planner == planner_id_;
  planner_confirmed_ = sender == notice.planner || (known && planner_confirmed_);
  term_ = notice.term;
  planner_id_ = notice.planner;
  planner_ = notice.planner.empty() ? std::string() : notice.entries.front();
  planner_store_lost_ = notice.store_lost;
  ranked_.clear();
  for (const auto& address : notice.entries) {
    ranked_.emplace_back(Sha256Prefix(agent_ + "\n" + address), address);
  }
  std::sort(ranked_.begin(), ranked_.end());
  reach_ = std::min(reach_, ranked_.size());
}

void entry_selection::SetListed(std::vector<std::string> listed) {
  if (listed == listed_) return;
  listed_ = std::move(listed);
  listed_from_ = 0;
  listed_turn_ = millis(0);
}

void entry_selection::OnOrder(std::string_view entry, int64_t term) {
  const auto found = connected_.find(entry);
  if (found == connected_.end() || term < term_) return;
  term_ = term;
  planner_id_ = entry;
  planner_ = found->second;
  planner_confirmed_ = true;
}

void entry_selection::OnConnected(std::string_view entry, std::string_view address) {
  connected_[std::string(entry)] = address;
}

void entry_selection::OnDisconnected(std::string_view entry) {
  if (entry == planner_id_) planner_confirmed_ = false;
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

void entry_selection::CheckPlanner(millis now) {
  if (PlannerConnected()) {
    disconnected_since_.reset();
  } else if (!disconnected_since_) {
    disconnected_since_ = now;
  }
  if (!planner_store_lost_) {
    store_lost_since_.reset();
  } else if (!store_lost_since_) {
    store_lost_since_ = now;
  }
  const bool not_handed_over = store_lost_since_ && now - *store_lost_since_ > kHandoverTimeout;
  if (!disconnected_since_ && !not_handed_over) {
    missing_since_.reset();
    listed_.clear();  // the addresses may be others' when the planner is missing again
  } else if (!missing_since_) {
    missing_since_ = now;
  }
}

/** Whether the entries of the last notice are not enough to find the planner. */
bool entry_selection::NeedsOthers(millis now) const {
  if (!missing_since_) return false;
  return connected_.empty() || now - *missing_since_ >= kNoticedEntriesTimeout;
}

/** Reaches further while entries or the planner are missing, and back when they have returned. */
void entry_selection::AdjustReach(millis now) {
  const bool disconnected = disconnected_since_ && now - *disconnected_since_ >= kPlannerTimeout;
  const size_t live = disconnected ? 0 : LiveStandbys(reach_);
  if (live < kStandbyEntries) {
    reach_ = std::min(ranked_.size(), reach_ + kStandbyEntries - live);
    return;
  }
  while (LiveStandbys(reach_ - 1) >= kStandbyEntries) --reach_;
}

/** Moves on to the next listed addresses, so that entries that are gone do not hide the others. */
void entry_selection::TurnListed(millis now) {
  if (listed_.size() <= kListedAtOnce || !NeedsOthers(now) || now < listed_turn_) return;
  if (listed_turn_ > millis(0)) listed_from_ += kListedAtOnce;
  if (listed_from_ >= listed_.size()) listed_from_ = 0;
  listed_turn_ = now + kListedTurn;
}

void entry_selection::Dial(const std::string& address, millis until, link_changes& changes) {
  const auto [known, added] = dialled_.try_emplace(address, until);
  known->second = std::max(known->second, until);
  if (added) changes.dial.push_back(address);
}

void entry_selection::DialMissing(millis now, link_changes& changes) {
  const millis until = now + kUnwantedTime;
  if (!planner_.empty()) Dial(planner_, until, changes);
  for (size_t i = 0; i < reach_; ++i) Dial(ranked_[i].second, until, changes);
  if (!NeedsOthers(now)) return;
  for (const auto& address : seeds_) Dial(address, until, changes);
  const size_t end = std::min(listed_.size(), listed_from_ + kListedAtOnce);
  for (size_t i = listed_from_; i < end; ++i) Dial(listed_[i], now + kReviewInterval, changes);
}

/** Gives up what is not wanted, once all that is wanted is connected. */
void entry_selection::UndialSurplus(link_changes& changes) {
  if (!PlannerConnected() || LiveStandbys(reach_) < kStandbyEntries) return;
  const auto end = ranked_.begin() + static_cast<std::ptrdiff_t>(reach_);
  std::erase_if(dialled_, [&](const auto& dialled) {
    const std::string& address = dialled.first;
    const bool wanted =
        address == planner_ || std::any_of(ranked_.begin(), end, [&](const auto& candidate) {
          return candidate.second == address;
        });
    if (!wanted) changes.undial.push_back(address);
    return !wanted;
  });
}

/** Gives up addresses that have not been wanted for a while and are not connected. */
void entry_selection::UndialUnreachable(millis now, link_changes& changes) {
  std::erase_if(dialled_, [&](const auto& dialled) {
    const auto& [address, until] = dialled;
    if (now < until || IsConnected(address)) return false;
    changes.undial.push_back(address);
    return true;
  });
}

link_changes entry_selection::Next(millis now) {
  link_changes changes;
  CheckPlanner(now);
  if (now >= next_) {
    next_ = now + kReviewInterval;
    AdjustReach(now);
    TurnListed(now);
    UndialSurplus(changes);
    UndialUnreachable(now, changes);
  }
  DialMissing(now, changes);
  return changes;
}

}  // namespace eelgrass
