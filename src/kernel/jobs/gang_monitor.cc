#include "kernel/jobs/gang_monitor.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kStopRepeat{1000};
constexpr millis kReportTimeout{2000};  // for the first report after a start
constexpr millis kRunningReportTimeout{60000};
constexpr millis kQueryInterval{2000};
constexpr millis kMemberLeaseExpiry{4000};    // members without an anchor have stopped by then
constexpr millis kAnchorLostTimeout{120000};  // an isolated agent has stopped its gangs by then

}  // namespace

gang_monitor::gang_monitor(const cluster& machines, std::vector<send_to_peer>& outbox)
    : machines_(machines), outbox_(outbox) {}

void gang_monitor::Begin(std::string_view job, millis now) {
  Find(job) = monitored_gang{now, now + kReportTimeout, now, millis(0)};
}

void gang_monitor::QueryNow(std::string_view job, millis now) {
  monitored_gang& item = Find(job);
  item.last_report = now - kRunningReportTimeout;
  item.next_query = now;
}

void gang_monitor::RecordReport(std::string_view job, millis now) { Find(job).last_report = now; }

void gang_monitor::Forget(std::string_view job) {
  const auto found = gangs_.find(job);
  if (found != gangs_.end()) gangs_.erase(found);
}

void gang_monitor::QueryIfSilent(const job_row& row, millis now) {
  const auto [slot, added] = gangs_.try_emplace(row.id);
  monitored_gang& item = slot->second;
  if (added) item.last_report = now;
  const bool starting = row.state == job_state::kStarting;
  const millis timeout = starting ? kReportTimeout : kRunningReportTimeout;
  const bool silent = now - item.last_report >= timeout;
  if (!added && (!silent || now < item.next_query)) return;
  item.next_query = now + kQueryInterval;
  outbox_.push_back({row.members.front().agent, gang_query{{row.id, row.epoch}}});
}

void gang_monitor::Stop(const job_row& row, millis checkpoint, std::string_view reason,
                        millis now) {
  monitored_gang& item = Find(row.id);
  if (now < item.next_stop) return;
  item.next_stop = now + kStopRepeat;
  outbox_.push_back({row.members.front().agent,
                     gang_stop{{row.id, row.epoch}, checkpoint.count(), std::string(reason)}});
}

bool gang_monitor::MemberLeasesExpired(std::string_view job, millis now) {
  monitored_gang& item = Find(job);
  if (item.first_rejected_at == millis(0)) item.first_rejected_at = now;
  return now - item.first_rejected_at >= kMemberLeaseExpiry;
}

bool gang_monitor::AnchorLost(const job_row& row, millis now) const {
  const worker_state* anchor = machines_.Find(row.members.front().agent);
  if (anchor == nullptr || anchor->connected) return false;
  const auto known = gangs_.find(row.id);
  const millis reported = known != gangs_.end() ? known->second.last_report : now;
  const millis silent_since = std::max(anchor->disconnected_at, reported);
  return now - silent_since >= kAnchorLostTimeout && RegionReachable(anchor->region);
}

bool gang_monitor::RegionReachable(std::string_view region) const {
  int connected = 0;
  int known = 0;
  for (const auto& [id, worker] : machines_.workers()) {
    if (worker.region != region) continue;
    ++known;
    if (worker.connected) ++connected;
  }
  return connected * 2 >= known && connected > 0;
}

}  // namespace eelgrass
