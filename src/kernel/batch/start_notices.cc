#include "kernel/batch/start_notices.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace eelgrass {
namespace {

/** Number of entries that are told of each start. */
constexpr size_t kHolders = 3;

/** A notice without an answer is repeated after this, and the store has to hold its starts. */
constexpr millis kAnswerTimeout{200};

/** Between notices that tell of settled starts only. */
constexpr millis kSettledInterval{300};

}  // namespace

void start_notices::OnConnected(std::string_view entry, std::string_view domain, double processor) {
  holders_.erase(std::string(entry));
  entries_[std::string(entry)] = {std::string(domain), processor};
}

void start_notices::OnDisconnected(std::string_view entry) {
  holders_.erase(std::string(entry));
  entries_.erase(std::string(entry));
}

void start_notices::BeginTerm() {
  holders_.clear();
  unanswered_.clear();
}

/** Whether a failure domain may outlive this entry's; one that is not known may. */
bool start_notices::IsElsewhere(std::string_view domain) const {
  return domain_.empty() || domain.empty() || domain != domain_;
}

/** Those in other failure domains, and among them those that claim the term first. */
std::set<std::string> start_notices::Holders() const {
  std::vector<std::tuple<bool, double, std::string>> order;
  for (const auto& [id, entry] : entries_) {
    order.emplace_back(!IsElsewhere(entry.domain), -entry.processor, id);
  }
  std::sort(order.begin(), order.end());
  std::set<std::string> holders;
  for (const auto& entry : order) {
    if (holders.size() < kHolders) holders.insert(std::get<std::string>(entry));
  }
  return holders;
}

void start_notices::On(std::string_view entry, const open_starts_received& answer,
                       open_starts& starts) {
  const auto known = entries_.find(entry);
  if (known == entries_.end() || !IsElsewhere(known->second.domain)) return;
  unanswered_.erase(answer.number);
  starts.OnReceived(answer.number);
}

void start_notices::Next(open_starts& starts, millis now, std::vector<send_to_peer>& notices) {
  for (auto sent = unanswered_.begin(); sent != unanswered_.end();) {
    if (now - sent->second < kAnswerTimeout) {
      ++sent;
      continue;
    }
    starts.Repeat(sent->first);
    sent = unanswered_.erase(sent);
  }
  std::set<std::string> holders = Holders();
  for (const auto& id : holders) {
    if (!holders_.contains(id)) notices.push_back({id, starts.Notice(now)});
  }
  holders_ = std::move(holders);
  const bool news = starts.HasNews();
  if (holders_.empty() || (!news && now < next_)) return;
  next_ = now + kSettledInterval;
  const open_starts_notice notice = starts.TakeNews(last_number_ + 1, now);
  if (notice.workers.empty() && notice.settled.empty()) return;
  if (notice.number != 0) {
    ++last_number_;
    unanswered_.emplace(notice.number, now);
  }
  for (const auto& id : holders_) notices.push_back({id, notice});
}

bool start_notices::StoreNeeded(const open_starts& starts, millis now) const {
  if (!starts.HasUnknown()) return false;
  const bool awaited = std::any_of(holders_.begin(), holders_.end(), [this](const auto& id) {
    return IsElsewhere(entries_.at(id).domain);
  });
  return !awaited || std::any_of(unanswered_.begin(), unanswered_.end(), [now](const auto& sent) {
    return now - sent.second >= kAnswerTimeout / 2;
  });
}

}  // namespace eelgrass
