#include "kernel/batch/pace_policy.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr int64_t kFullPercent = 100;

/** Latency of a serving task, in percent of its target, from which the share is cut. */
constexpr int64_t kPressedPercent = 85;

/** Below this latency, in percent of the target, a serving task counts as calm. */
constexpr int64_t kCalmPercent = 60;

/** The listed latency covers half a second, so a cut shows only after that. */
constexpr millis kCutInterval{600};

/** All serving tasks have to be calm for this long before the share is raised. */
constexpr millis kCalmTime{1500};

/** One raise of the share, in percent. */
constexpr int64_t kRaiseStep = 20;

/** A cut divides the share by this; below the minimum the share becomes 0. */
constexpr int64_t kCutDivisor = 3;
constexpr int64_t kMinPercent = 10;

}  // namespace

std::vector<pace_change> pace_policy::Decide(std::span<const paced_run> runs, millis now) {
  int64_t worst = 0;
  for (const auto& run : runs) {
    if (run.target_ms > 0) worst = std::max(worst, run.latency_ms * kFullPercent / run.target_ms);
  }
  if (worst >= kPressedPercent) {
    calm_since_ = now;
    if (now >= next_cut_) {
      percent_ = percent_ / kCutDivisor < kMinPercent ? 0 : percent_ / kCutDivisor;
      next_cut_ = now + kCutInterval;
    }
  } else if (worst >= kCalmPercent) {
    calm_since_ = now;
  } else if (now - calm_since_ >= kCalmTime && percent_ < kFullPercent) {
    percent_ = std::min(kFullPercent, percent_ + kRaiseStep);
    calm_since_ = now;
  }
  std::vector<pace_change> changes;
  std::map<run_ref, int64_t> sent;
  for (const auto& run : runs) {
    if (!run.fills) continue;
    const auto known = sent_percents_.find(run.run);
    const int64_t before = known == sent_percents_.end() ? kFullPercent : known->second;
    if (before != percent_) changes.push_back({run.run, percent_});
    sent[run.run] = percent_;
  }
  sent_percents_ = std::move(sent);
  return changes;
}

}  // namespace eelgrass
