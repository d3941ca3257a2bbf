#include "kernel/jobs/failure_tracker.h"

#include <algorithm>

namespace eelgrass {
namespace {
constexpr int kJobsToQuarantine = 3;
constexpr int kWorkersToBlameJob = 2;
constexpr millis kFirstQuarantine{60000};
constexpr int kMaxDoublings = 6;
}  // namespace

void failure_tracker::RecordFailure(std::string_view job, std::string_view worker, millis now) {
  jobs_[std::string(job)].insert(std::string(worker));
  failure_record& state = workers_[std::string(worker)];
  state.failed_jobs.insert(std::string(job));
  const bool enough = BlamedJobs(state, worker) >= kJobsToQuarantine;
  if (!enough && !state.suspect) return;
  if (Quarantined(worker, now)) return;
  const int doublings = std::min(state.quarantines, kMaxDoublings);
  state.until = now + kFirstQuarantine * (int64_t{1} << doublings);
  state.suspect = true;
  ++state.quarantines;
}

int failure_tracker::BlamedJobs(const failure_record& worker, std::string_view name) const {
  int blamed = 0;
  for (const auto& job : worker.failed_jobs) {
    const auto known = jobs_.find(job);
    if (known == jobs_.end()) continue;
    const auto others = known->second.size() - (known->second.contains(name) ? 1 : 0);
    if (static_cast<int>(others) < kWorkersToBlameJob) ++blamed;
  }
  return blamed;
}

void failure_tracker::RecordSuccess(std::string_view job, std::string_view worker) {
  const auto known = workers_.find(worker);
  if (known != workers_.end()) workers_.erase(known);
  Forget(job);
}

void failure_tracker::Forget(std::string_view job) {
  const auto known = jobs_.find(job);
  if (known != jobs_.end()) jobs_.erase(known);
}

bool failure_tracker::Quarantined(std::string_view worker, millis now) const {
  return QuarantinedUntil(worker) > now;
}

bool failure_tracker::OnProbation(std::string_view worker, millis now) const {
  const auto known = workers_.find(worker);
  return known != workers_.end() && known->second.suspect && known->second.until <= now;
}

millis failure_tracker::QuarantinedUntil(std::string_view worker) const {
  const auto known = workers_.find(worker);
  return known == workers_.end() ? millis(0) : known->second.until;
}

int failure_tracker::CountedFailures(std::string_view job) const {
  const auto known = jobs_.find(job);
  if (known == jobs_.end()) return 0;
  return static_cast<int>(
      std::count_if(known->second.begin(), known->second.end(), [this](const auto& worker) {
        const auto state = workers_.find(worker);
        return state == workers_.end() || !state->second.suspect;
      }));
}

}  // namespace eelgrass
