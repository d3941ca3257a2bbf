#include "kernel/batch/pace_policy.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr int64_t kFull = 100;

/** A serving task this close to its target, in percent of it, makes the others hold back. */
constexpr int64_t kPressed = 85;

/** All serving tasks below this share of their targets count as calm. */
constexpr int64_t kCalm = 60;

/** The listed latency covers half a second: a cut shows after that. */
constexpr millis kCutInterval{600};

/** Calm for this long before the others may do more. */
constexpr millis kCalmTime{1500};

/** One step back towards full speed, in percent. */
constexpr int64_t kStep = 20;

/** A cut leaves this share of what was allowed; below the least nothing is allowed. */
constexpr int64_t kCutDivisor = 3;
constexpr int64_t kLeast = 10;

}  // namespace

std::vector<pace_change> pace_policy::Decide(std::span<const paced_run> runs, millis now) {
  int64_t worst = 0;
  for (const auto& run : runs) {
    if (run.target_ms > 0) worst = std::max(worst, run.latency_ms * kFull / run.target_ms);
  }
  if (worst >= kPressed) {
    calm_since_ = now;
    if (now >= next_cut_) {
      percent_ = percent_ / kCutDivisor < kLeast ? 0 : percent_ / kCutDivisor;
      next_cut_ = now + kCutInterval;
    }
  } else if (worst >= kCalm) {
    calm_since_ = now;
  } else if (now - calm_since_ >= kCalmTime && percent_ < kFull) {
    percent_ = std::min(kFull, percent_ + kStep);
    calm_since_ = now;
  }
  std::vector<pace_change> changes;
  std::map<run_ref, int64_t> told;
  for (const auto& run : runs) {
    if (!run.fills) continue;
    const auto known = told_.find(run.run);
    const int64_t before = known == told_.end() ? kFull : known->second;
    if (before != percent_) changes.push_back({run.run, percent_});
    told[run.run] = percent_;
  }
  told_ = std::move(told);
  return changes;
}

}  // namespace eelgrass
