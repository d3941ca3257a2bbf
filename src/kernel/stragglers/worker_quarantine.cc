#include "kernel/stragglers/worker_quarantine.h"

#include <algorithm>
#include <map>
#include <set>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** First back-off: the stalls that were seen lasted 6 s or longer, and a probe costs a run. */
constexpr millis kFirstBackOff{3000};

/** Period within which failures of different jobs count together. */
constexpr millis kFailurePeriod{10000};

constexpr size_t kJobsToQuarantine = 2;

/** If one run in this many fails, the cause is not a single worker. */
constexpr int64_t kFailedPartDivisor = 10;

/** At most one worker in this many of a service is in quarantine. */
constexpr int64_t kServicePartDivisor = 4;

/** Bound on remembered failures; beyond it failures are not those of single workers. */
constexpr size_t kMostFailures = 1000;

constexpr millis kInterval{1000};

millis BackOff(int strikes) {
  millis time = kFirstBackOff;
  for (int i = 1; i < strikes && time < kLongestBackOff; ++i) time = time * 2;
  return std::min(time, kLongestBackOff);
}

}  // namespace

void worker_quarantine::Count(const run_outcome& outcome, millis now) {
  if (ends_.empty() || now - ends_.back().begin >= kInterval) ends_.push_back({now});
  ++ends_.back().ended;
  if (!outcome.failed) return;
  ++ends_.back().failed;
  failures_.push_back({outcome.worker, outcome.job, now});
  if (failures_.size() > kMostFailures) failures_.pop_front();
}

void worker_quarantine::ForgetFailures(std::string_view worker) {
  std::erase_if(failures_, [&](const failure& known) { return known.worker == worker; });
}

void worker_quarantine::Observe(std::span<const run_outcome> outcomes, worker_pool& pool,
                                millis now) {
  full_.clear();
  const auto old = [now](millis at) { return now - at > kFailurePeriod; };
  std::erase_if(failures_, [&](const failure& known) { return old(known.at); });
  while (!ends_.empty() && old(ends_.front().begin)) ends_.pop_front();
  for (const auto& outcome : outcomes) {
    Count(outcome, now);
    if (outcome.failed) continue;
    ForgetFailures(outcome.worker);
    pool_worker* worker = pool.Find(outcome.worker);
    if (worker == nullptr || worker->quarantine.strikes == 0) continue;
    log_event("worker-quarantine-ended")
        .With("worker", outcome.worker)
        .With("strikes", worker->quarantine.strikes);
    worker->quarantine.strikes = 0;
  }
  if (failures_.empty()) return;
  int64_t ended = 0;
  int64_t failed = 0;
  for (const auto& part : ends_) {
    ended += part.ended;
    failed += part.failed;
  }
  if (failed * kFailedPartDivisor >= ended) return;
  std::map<std::string, std::set<std::string>> jobs;
  for (const auto& known : failures_) jobs[known.worker].insert(known.job);
  for (const auto& [id, failing] : jobs) {
    pool_worker* worker = pool.Find(id);
    if (worker == nullptr || now < worker->quarantine.until) continue;
    // A probe that fails is enough: it is the next failure after those that led to the quarantine.
    const bool probe = worker->quarantine.Probing(now);
    if (failing.size() < kJobsToQuarantine && !probe) continue;
    Impose(*worker, "failures", static_cast<int64_t>(failing.size()), pool, now);
  }
}

bool worker_quarantine::OnStall(std::string_view id, worker_pool& pool, millis now) {
  pool_worker* worker = pool.Find(id);
  if (worker == nullptr) return false;
  return now < worker->quarantine.until || Impose(*worker, "stall", 0, pool, now);
}

bool worker_quarantine::Impose(pool_worker& worker, std::string_view reason, int64_t failures,
                               const worker_pool& pool, millis now) {
  // A worker on probation counts already; every other one is one too many.
  const bool counted = worker.quarantine.Active(now);
  if (!counted && full_.contains(worker.profile.service)) return false;
  int64_t in_service = 0;
  int64_t active = 0;
  for (const auto& [id, other] : pool.all()) {
    if (other.profile.service != worker.profile.service) continue;
    ++in_service;
    if (&other != &worker && other.quarantine.Active(now)) ++active;
  }
  if ((active + 1) * kServicePartDivisor > in_service) {
    if (!counted) full_.insert(worker.profile.service);
    return false;
  }
  quarantine_state& state = worker.quarantine;
  ++state.strikes;
  const millis time = BackOff(state.strikes);
  state.until = now + time;
  state.failures = failures;
  worker.avoid_until = std::max(worker.avoid_until, state.until);
  ForgetFailures(worker.profile.self.id);
  ++total_;
  log_event("worker-quarantined")
      .With("worker", worker.profile.self.id)
      .With("reason", reason)
      .With("for_ms", time.count())
      .With("failures", failures)
      .With("strikes", state.strikes)
      .With("others", active)
      .With("workers", in_service)
      .With("reported_ago_ms", (now - worker.reported).count());
  return true;
}

}  // namespace eelgrass
