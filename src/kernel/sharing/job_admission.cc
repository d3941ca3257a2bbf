#include "kernel/sharing/job_admission.h"

#include <algorithm>

#include "kernel/base/digest.h"
#include "kernel/base/log_event.h"
#include "kernel/batch/unit_order.h"
#include "kernel/sharing/job_width.h"

namespace eelgrass {
namespace {

/** A forecast that is older than this rejects nobody. The planner repeats it every 2 s. */
constexpr millis kLongestAge{3000};

/** Part of a forecast wait that counts as its error. */
constexpr int64_t kErrorDivisor = 4;

/** Part of the retry time over which the callers of rejected jobs are spread. */
constexpr int64_t kSpreadDivisor = 2;

/** Callers return within a few seconds; after this time a job counts as new. */
constexpr millis kMemory{60000};
constexpr size_t kMostRemembered = 10000;

/** The platform carries a call that it did not answer out up to 12 s late. */
constexpr millis kStoreDoubt{15000};

/** Bounds of a forecast that is believed. */
constexpr int64_t kLongestForecastMs = int64_t{24} * 3600 * 1000;
constexpr size_t kMostQueues = 1000;
constexpr size_t kMostOrganisations = 10000;

constexpr millis kSecond{1000};

bool IsSound(const load_forecast& forecast) {
  const auto in_range = [](int64_t value) { return value >= 0 && value <= kLongestForecastMs; };
  const bool queues = std::all_of(
      forecast.queues.begin(), forecast.queues.end(),
      [&](const auto& queue) { return in_range(queue.wait_ms) && in_range(queue.wide_wait_ms); });
  const bool urgent =
      std::all_of(forecast.urgent.begin(), forecast.urgent.end(),
                  [](const auto& usage) { return std::in_range<int32_t>(usage.accelerators); });
  return forecast.term > 0 && in_range(forecast.age_ms) && forecast.created_ms >= 0 &&
         forecast.created_ms < INT64_MAX / 4 && queues && urgent &&
         forecast.queues.size() <= kMostQueues && forecast.urgent.size() <= kMostOrganisations;
}

}  // namespace

job_admission::job_admission()
    : rejected_(kMemory, kMostRemembered), unknown_(kMemory, kMostRemembered) {}

void job_admission::On(const load_forecast& forecast, millis now) {
  if (!IsSound(forecast)) {
    ++refused_forecasts_;
    return;
  }
  const bool older = forecast.term < forecast_.term || (forecast.term == forecast_.term &&
                                                        forecast.created_ms < forecast_.created_ms);
  if (older || forecast.term < newest_term_) return;
  const millis offset = now - millis(forecast.created_ms);
  const bool same_term = forecast.term == forecast_.term;
  least_offset_ = same_term ? std::min(least_offset_, offset) : offset;
  forecast_ = forecast;
}

void job_admission::OnTerm(int64_t term) { newest_term_ = std::max(newest_term_, term); }

void job_admission::RememberUnknown(std::string_view job, millis now) {
  if (!unknown_.Add(job, now)) unknown_overflow_ = now;
}

/** A message that was delayed on its way is as old as the fastest one of its planner shows. */
std::optional<millis> job_admission::Age(millis now) const {
  if (forecast_.term == 0 || forecast_.term < newest_term_) return std::nullopt;
  return millis(forecast_.age_ms) + (now - millis(forecast_.created_ms)) - least_offset_;
}

std::span<const queue_forecast> job_admission::queues(millis now) const {
  const auto age = Age(now);
  if (!age || *age > kLongestAge) return {};
  return forecast_.queues;
}

bool job_admission::IsGuaranteed(const batch_job& job, const batch_queue& queue,
                                 const batch_organisation* owner) const {
  if (!IsUrgent(queue) || owner == nullptr) return false;
  int64_t needed = AcceleratorsNeeded(job);
  for (const auto& usage : forecast_.urgent) {
    if (usage.organisation == owner->name) needed += usage.accelerators;
  }
  return needed <= owner->guaranteed_accelerators;
}

std::optional<job_rejection> job_admission::Judge(const submitted_job& submitted,
                                                  const batch_queue& queue,
                                                  const batch_organisation* owner,
                                                  millis now) const {
  const batch_job& job = submitted.job;
  const auto known = queues(now);
  const auto found = std::find_if(known.begin(), known.end(),
                                  [&](const auto& entry) { return entry.queue == queue.name; });
  if (found == known.end()) return std::nullopt;
  const bool scheduled = job.occurrences > 0 || job.first_start > millis(0);
  const bool long_running = std::any_of(job.steps.begin(), job.steps.end(),
                                        [](const auto& step) { return step.long_running; });
  if (scheduled || long_running || IsGuaranteed(job, queue, owner)) return std::nullopt;
  job_rejection rejection;
  rejection.wide = IsWide(job, found->worker);
  rejection.age = *Age(now);
  const millis forecast(rejection.wide ? found->wide_wait_ms : found->wait_ms);
  rejection.wait = std::max(forecast - rejection.age, millis(0));
  rejection.chain = LongestChain(job);
  rejection.objective = Objective(job, queue);
  const millis certain = rejection.wait - rejection.wait / kErrorDivisor;
  const millis allowed = rejection.objective * kLateFactor - rejection.chain;
  if (certain <= allowed || certain == millis(0)) return std::nullopt;
  const bool doubt = now - store_unanswered_ < kStoreDoubt || now - unknown_overflow_ < kMemory ||
                     unknown_.Contains(submitted.id, now);
  if (doubt) return std::nullopt;
  rejection.excess = (certain - allowed) * kErrorDivisor / (kErrorDivisor - 1);
  rejection.term = forecast_.term;
  rejection.job = submitted.id;
  rejection.queue = queue.name;
  rejection.organisation = owner == nullptr ? std::string() : owner->name;
  return rejection;
}

/**
 * The time after which the forecast would admit the job, and up to half of it again by the job's
 * id, so that callers do not return together: the lower half of that for a job that was rejected
 * before, so that it is ahead of those that were not.
 */
millis job_admission::Reject(const job_rejection& rejection, millis now) {
  const bool before = rejected_.Contains(rejection.job, now);
  rejected_.Add(rejection.job, now);
  ++rejections_;
  const millis least = std::max(rejection.excess, kSecond);
  const millis half = least / (kSpreadDivisor * 2);
  const auto spread = static_cast<uint64_t>(half.count()) + 1;
  millis wait = least + millis(static_cast<int64_t>(Sha256Prefix(rejection.job) % spread));
  if (!before) wait += half;
  const millis whole = (wait + kSecond / 2) / kSecond.count() * kSecond.count();
  log_event("job-rejected")
      .With("job", rejection.job)
      .With("queue", rejection.queue)
      .With("organisation", rejection.organisation)
      .With("wide", rejection.wide ? 1 : 0)
      .With("wait_ms", rejection.wait.count())
      .With("age_ms", rejection.age.count())
      .With("term", rejection.term)
      .With("chain_ms", rejection.chain.count())
      .With("objective_ms", rejection.objective.count())
      .With("rejected_before", before ? 1 : 0)
      .With("retry_after_ms", whole.count());
  return whole;
}

}  // namespace eelgrass
