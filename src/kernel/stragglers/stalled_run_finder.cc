#include "kernel/stragglers/stalled_run_finder.h"

#include <algorithm>
#include <set>

namespace eelgrass {
namespace {

/** Shortest stall; reports come every second, so that it takes at least three lists. */
constexpr millis kLeastStall{1500};

/** A run stands still if it takes longer than this share of its work should take. */
constexpr double kMissedPercent = 3;

/** From here on a percentage may stand still for good reason: a member waits for slower ones. */
constexpr int64_t kNearlyDone = 98;

/** Estimates miss by e to the power of 0.9 at times; applies to runs that have not advanced. */
constexpr double kEstimateError = 2.5;

/** A unit that has stood still on this many placements is taken to be the cause itself. */
constexpr int kMostMoves = 2;

constexpr double kAllDone = 100;
constexpr double kMillisPerSecond = 1000;

/** Time for a share of the work at a rate in percent per second. */
millis TimeFor(double percent, double rate) {
  return millis(static_cast<int64_t>(percent * kMillisPerSecond / rate));
}

/** Whether a running run of a responding worker was listed just now. */
bool IsObserved(const pool_worker& worker, const run_record& record, millis now) {
  return worker.linked && worker.listing && record.phase == run_phase::kRunning &&
         record.listing.percent() >= 0 && now - record.listing.listed_at() <= kFreshListing;
}

bool StandsStill(const pool_worker& worker, const run_record& record, millis now) {
  return IsObserved(worker, record, now) && record.listing.percent() < kNearlyDone &&
         record.listing.standing() >= kLeastStall && worker.profile.cold_ms == 0;
}

/** Whether another unit's run on the worker advanced while this run stood still. */
bool OthersAdvance(const pool_worker& worker, const run_record& still) {
  return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto& entry) {
    const listing_watch& other = entry.second.listing;
    return !(entry.second.unit == still.unit) && other.advanced() &&
           other.advanced_at() >= still.listing.advanced_at() + kLeastStall;
  });
}

double SlowdownOf(const pool_worker& worker, const planning_view& view) {
  const worker_speed speed = view.speeds.SpeedOf(worker.profile);
  return speed.known ? speed.slowdown : 1;
}

}  // namespace

std::vector<stalled_unit> stalled_run_finder::Find(const planning_view& view) {
  Forget(view.jobs);
  std::map<unit_ref, std::vector<member>> suspects;
  std::map<step_key, std::vector<double>> rates;  // on the typical worker
  for (const auto& [id, worker] : view.pool.all()) {
    for (const auto& [ref, record] : worker.runs) {
      if (!StandsStill(worker, record, view.now)) continue;
      suspects.try_emplace(record.unit);
      rates.try_emplace({record.unit.job, record.unit.occurrence, record.unit.step});
    }
  }
  if (suspects.empty()) return {};
  for (const auto& [id, worker] : view.pool.all()) {
    for (const auto& [ref, record] : worker.runs) {
      if (const auto unit = suspects.find(record.unit); unit != suspects.end()) {
        unit->second.push_back({&worker, &record});
      }
      const auto step = rates.find({record.unit.job, record.unit.occurrence, record.unit.step});
      const auto rate = record.listing.earlier_rate();
      if (step == rates.end() || !rate) continue;
      step->second.push_back(*rate * SlowdownOf(worker, view));
    }
  }
  std::map<step_key, double> typical;
  for (auto& [step, known] : rates) {
    if (known.empty()) continue;
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    typical[step] = *middle;
  }
  std::vector<stalled_unit> stalled;
  for (const auto& [unit, members] : suspects) {
    const auto rate = typical.find({unit.job, unit.occurrence, unit.step});
    auto found = Judge(unit, members,
                       rate == typical.end() ? std::nullopt : std::optional(rate->second), view);
    if (found) stalled.push_back(std::move(*found));
  }
  return stalled;
}

std::optional<stalled_unit> stalled_run_finder::Judge(const unit_ref& unit,
                                                      std::span<const member> members,
                                                      std::optional<double> step_rate,
                                                      const planning_view& view) {
  const batch_step* step = view.jobs.StepOf(unit);
  const unit_state* state = view.jobs.Find(unit);
  if (step == nullptr || state == nullptr || step->long_running || step->fills) return {};
  const auto known = found_.find(unit);
  if (known != found_.end() && known->second.moves >= kMostMoves) return {};
  if (members.size() != static_cast<size_t>(UnitSize(*step))) return {};
  millis complete_since{0};
  for (const auto& [worker, record] : members) {
    if (!IsObserved(*worker, *record, view.now)) return {};
    complete_since = std::max(complete_since, record->listing.first_listed_at());
  }
  // Rate on the typical worker; without a measurement it follows from the estimate.
  const double expected =
      step_rate.value_or(kAllDone * kMillisPerSecond /
                         static_cast<double>(std::max<int64_t>(1, step->estimate.count())));
  stalled_unit found;
  found.unit = unit;
  bool others_work = false;  // a member advances or has advanced
  millis end_here{0};
  double typical_rate = expected;
  double least_percent = kAllDone;
  for (const auto& [worker, record] : members) {
    const listing_watch& listing = record->listing;
    const double slowdown = SlowdownOf(*worker, view);
    const double rate = listing.earlier_rate().value_or(expected / slowdown);
    const auto percent = static_cast<double>(listing.percent());
    least_percent = std::min(least_percent, percent);
    millis remaining = TimeFor(kAllDone - percent, rate);
    // A gang works only while all of its members are there.
    const millis standing = std::min(listing.standing(), listing.listed_at() - complete_since);
    double least_rate = rate;
    if (!listing.earlier_rate()) {
      least_rate = std::min(rate / kEstimateError, listing.average_rate().value_or(rate));
    }
    const bool at_fault = StandsStill(*worker, *record, view.now) && standing >= kLeastStall &&
                          standing > TimeFor(kMissedPercent, least_rate);
    others_work = others_work || !at_fault || listing.advanced();
    if (at_fault) {
      remaining += standing;
      const std::string& id = worker->profile.self.id;
      if (std::find(found.workers.begin(), found.workers.end(), id) == found.workers.end()) {
        found.workers.push_back(id);
        if (!OthersAdvance(*worker, *record)) found.accused.push_back(id);
      }
      if (standing > found.stalled) {
        found.stalled = standing;
        found.run = record->run;
        found.percent = listing.percent();
        found.listed_ago = view.now - listing.listed_at();
        typical_rate = rate * slowdown;
      }
    }
    end_here = std::max(end_here, remaining);
  }
  if (found.workers.empty()) return {};
  // A gang that has never worked on several workers is more likely the cause than all of them.
  if (!others_work && found.workers.size() > 1) found.accused.clear();
  const bool resumes = step->checkpoints && !state->saved.empty();
  const millis elsewhere = resumes
                               ? bounds_.restore + TimeFor(kAllDone - least_percent, typical_rate)
                               : TimeFor(kAllDone, typical_rate);
  found.gain = end_here - elsewhere - bounds_.stop_timeout;
  memory& remembered = found_[unit];
  found.first_seen = remembered.run != found.run;
  remembered.run = found.run;
  return found;
}

/** Keeps the memory as small as the list of open jobs. */
void stalled_run_finder::Forget(const job_table& jobs) {
  std::erase_if(found_, [&](const auto& entry) { return !jobs.open().contains(entry.first.job); });
}

}  // namespace eelgrass
