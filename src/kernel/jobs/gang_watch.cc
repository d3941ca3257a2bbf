#include "kernel/jobs/gang_watch.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kStopRepeat{1000};
constexpr millis kReportTimeout{2000};  // of a start
constexpr millis kRunningReportTimeout{60000};
constexpr millis kQueryInterval{2000};
constexpr millis kLeaseLapse{4000};    // after which members of a lost anchor have stopped
constexpr millis kWorkerLost{120000};  // silent that long, an agent has stopped its gangs

}  // namespace

gang_watch::gang_watch(const cluster& machines, std::vector<send_to_peer>& outbox)
    : machines_(machines), outbox_(outbox) {}

void gang_watch::Begin(std::string_view job, millis now) {
  Find(job) = watch{now, now + kReportTimeout, now, millis(0)};
}

void gang_watch::AskSoon(std::string_view job, millis now) {
  watch& item = Find(job);
  item.last_report = now - kRunningReportTimeout;
  item.next_query = now;
}

void gang_watch::Reported(std::string_view job, millis now) { Find(job).last_report = now; }

void gang_watch::Forget(std::string_view job) {
  const auto found = watches_.find(job);
  if (found != watches_.end()) watches_.erase(found);
}

void gang_watch::AskIfSilent(const job_row& row, millis now) {
  const auto [slot, added] = watches_.try_emplace(row.id);
  watch& item = slot->second;
  if (added) item.last_report = now;
  const bool starting = row.state == job_state::kStarting;
  const millis patience = starting ? kReportTimeout : kRunningReportTimeout;
  const bool silent = now - item.last_report >= patience;
  if (!added && (!silent || now < item.next_query)) return;
  item.next_query = now + kQueryInterval;
  outbox_.push_back({row.members.front().agent, gang_query{{row.id, row.epoch}}});
}

void gang_watch::Stop(const job_row& row, millis checkpoint, std::string_view reason, millis now) {
  watch& item = Find(row.id);
  if (now < item.next_stop) return;
  item.next_stop = now + kStopRepeat;
  outbox_.push_back({row.members.front().agent,
                     gang_stop{{row.id, row.epoch}, checkpoint.count(), std::string(reason)}});
}

bool gang_watch::BarredLongEnough(std::string_view job, millis now) {
  watch& item = Find(job);
  if (item.bar_seen == millis(0)) item.bar_seen = now;
  return now - item.bar_seen >= kLeaseLapse;
}

bool gang_watch::Lost(const job_row& row, millis now) const {
  const worker_state* anchor = machines_.Find(row.members.front().agent);
  if (anchor == nullptr || anchor->connected) return false;
  const auto known = watches_.find(row.id);
  const millis reported = known != watches_.end() ? known->second.last_report : now;
  const millis silent_since = std::max(anchor->lost_at, reported);
  return now - silent_since >= kWorkerLost && RegionVisible(anchor->region);
}

bool gang_watch::RegionVisible(std::string_view region) const {
  int there = 0;
  int known = 0;
  for (const auto& [id, worker] : machines_.workers()) {
    if (worker.region != region) continue;
    ++known;
    if (worker.connected) ++there;
  }
  return there * 2 >= known && there > 0;
}

}  // namespace eelgrass
