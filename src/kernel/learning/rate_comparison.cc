#include "kernel/learning/rate_comparison.h"

#include <algorithm>
#include <cmath>

namespace eelgrass {
namespace {

/** Standard deviation of the slowness of machines of which nothing is known: a factor of 1.6. */
constexpr double kPriorDeviation = 0.45;

/** Passes of messages: information crosses that many groups in one estimate. */
constexpr int kPasses = 4;

/** Groups that are kept for one machine; older ones are dropped. */
constexpr size_t kMaxGroups = 12;

/** Runs of one group that are kept for one machine; the earliest is dropped first. */
constexpr size_t kMaxRuns = 16;

/** Machines that are kept; those without samples for the longest time are dropped first. */
constexpr size_t kMaxMachines = 4096;

/** The weight of a comparison halves with each such time before the machine's latest one. */
constexpr millis kAgeHalfLife{20000};

/** A run that becomes faster or slower by more than this factor shows a change of its machine. */
const double kChange = std::log(1.4);

/** A speed that has changed while it was measured is forgotten this long after the last sample. */
constexpr millis kPassing{10000};

/** Comparisons this much older than a change still count: they may show it already. */
constexpr millis kChangeSlack{1200};

/** Estimates are recomputed at most this often, which bounds their cost at 1,000 machines. */
constexpr millis kEstimateInterval{500};

/** Deviations beyond this many standard deviations are outliers and count less. */
constexpr double kOutlier = 1.5;

double Median(std::vector<double>& values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void rate_comparison::Observe(const rate_sample& sample, millis now) {
  if (!(sample.rate > 0)) return;
  const double log_rate = std::log(sample.rate);
  machine_record& machine = machines_[sample.machine];
  comparison& part = machine.groups[sample.group];
  const auto known = part.runs.find(sample.run);
  double settled = known == part.runs.end() ? log_rate : known->second.settled;
  // Rates are measured over a window, so that a change shows in several steps.
  if (std::abs(settled - log_rate) > kChange) {
    settled = log_rate;
    const millis oldest = now - kChangeSlack;
    std::erase_if(machine.groups, [&](const auto& entry) {
      return entry.first != sample.group && entry.second.latest < oldest;
    });
    machine.prior.reset();
    machine.speed_changed = true;
  }
  part.runs[sample.run] = {log_rate, now, settled};
  if (part.runs.size() > kMaxRuns) {
    part.runs.erase(
        std::min_element(part.runs.begin(), part.runs.end(),
                         [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
  }
  part.spread = sample.spread;
  part.latest = now;
  machine.latest = std::max(machine.latest, now);
  if (machine.groups.size() > kMaxGroups) DropOldest(machine);
  changed_ = true;
}

void rate_comparison::DropOldest(machine_record& machine) {
  const auto oldest = std::min_element(
      machine.groups.begin(), machine.groups.end(),
      [](const auto& a, const auto& b) { return a.second.latest < b.second.latest; });
  machine.groups.erase(oldest);
}

void rate_comparison::SetPrior(std::string_view machine, const machine_prior& prior) {
  machine_record& record = machines_[std::string(machine)];
  std::erase_if(record.groups,
                [&](const auto& entry) { return entry.second.latest <= prior.measured; });
  record.prior = prior;
  next_expiry_ = std::min(next_expiry_, prior.until);
  changed_ = true;
}

void rate_comparison::DropExpiredPriors(millis now) {
  if (now < next_expiry_) return;
  next_expiry_ = millis(INT64_MAX);
  for (auto& [id, machine] : machines_) {
    if (!machine.prior) continue;
    if (machine.prior->until <= now) {
      machine.prior.reset();
      changed_ = true;
    } else {
      next_expiry_ = std::min(next_expiry_, machine.prior->until);
    }
  }
}

/** Whether the machine's own runs show that its prior no longer holds. */
bool rate_comparison::Contradicts(const machine_record& machine) {
  if (!machine.prior) return false;
  const machine_slowness& prior = machine.prior->slowness;
  const double prior_precision = 1 / (prior.deviation * prior.deviation);
  const double own_precision = machine.precision - prior_precision;
  // A comparison that errs by more than the change itself shows none.
  if (own_precision * kChange * kChange < 1) return false;
  const double own = (machine.weighted_sum - prior.mean * prior_precision) / own_precision;
  return std::abs(own - prior.mean) > kChange;
}

/** Removes the priors of machines that have come back at another speed. */
void rate_comparison::DropContradictedPriors() {
  for (auto& [id, machine] : machines_) {
    if (!Contradicts(machine)) continue;
    machine.prior.reset();
    AddUp(machine);
    changed_ = true;  // what the machine told others rested on the prior
  }
}

/** Combines the runs of each group on the machine. */
void rate_comparison::Summarize(machine_record& machine) {
  for (auto& [group, part] : machine.groups) {
    std::vector<double> rates;
    for (const auto& [run, measured] : part.runs) rates.push_back(measured.log_rate);
    part.log_rate = Median(rates);
    part.variance = part.spread * part.spread / static_cast<double>(rates.size());
    const auto age = static_cast<double>((machine.latest - part.latest).count());
    part.age_share = std::exp2(-age / static_cast<double>(kAgeHalfLife.count()));
  }
}

/** Adds the messages of all groups to what is known of the machine otherwise. */
void rate_comparison::AddUp(machine_record& machine) {
  const machine_slowness prior =
      machine.prior ? machine.prior->slowness : machine_slowness{0, kPriorDeviation};
  machine.precision = 1 / (prior.deviation * prior.deviation);
  machine.weighted_sum = prior.mean * machine.precision;
  for (const auto& [group, part] : machine.groups) {
    machine.precision += part.weight;
    machine.weighted_sum += part.weight * part.message;
  }
}

/** Compares the machines of one group: each with the level that the others have in common. */
void rate_comparison::Compare(const std::vector<group_member>& members) {
  double all_weights = 0;
  double all_levels = 0;
  std::vector<std::pair<double, double>> others;  // weight and level that each member contributes
  for (const auto& member : members) {
    const comparison& part = *member.part;
    const double precision = member.machine->precision - part.weight;
    const double mean = (member.machine->weighted_sum - part.weight * part.message) / precision;
    const double weight = 1 / (part.variance + 1 / precision);
    others.emplace_back(weight, part.log_rate + mean);
    all_weights += weight;
    all_levels += weight * (part.log_rate + mean);
  }
  for (size_t i = 0; i < members.size(); ++i) {
    comparison& part = *members[i].part;
    const auto [own_weight, own_level] = others[i];
    const double rest = all_weights - own_weight;
    part.message = (all_levels - own_weight * own_level) / rest - part.log_rate;
    const double deviation = std::sqrt(part.variance + 1 / rest);
    // Some tasks take several times as long as others of their step, which shows no slow machine.
    const double excess = std::abs(part.message) / (kOutlier * (part.spread + deviation));
    part.weight = part.age_share / (deviation * deviation * std::max(1.0, excess));
  }
}

rate_comparison::machine_record& rate_comparison::LeaderOf(machine_record& machine) {
  machine_record* leader = &machine;
  while (leader->leader != leader) leader = leader->leader;
  machine.leader = leader;
  return *leader;
}

/** Precision of what is known of a machine without any comparison. */
double rate_comparison::OwnPrecision(const machine_record& machine) {
  const double deviation = machine.prior ? machine.prior->slowness.deviation : kPriorDeviation;
  return 1 / (deviation * deviation);
}

/**
 * Finds the machines that are compared with one another, directly or not. However often that is, it
 * tells nothing of the level that they have in common: all of them may be slow.
 */
void rate_comparison::Join(const std::map<std::string_view, std::vector<group_member>>& groups) {
  for (auto& [id, machine] : machines_) {
    machine.leader = &machine;
    machine.level_precision = OwnPrecision(machine);
  }
  for (const auto& [group, members] : groups) {
    machine_record& leader = LeaderOf(*members.front().machine);
    for (const auto& member : members) {
      machine_record& other = LeaderOf(*member.machine);
      if (&other == &leader) continue;
      other.leader = &leader;
      leader.level_precision += other.level_precision;
    }
  }
}

/** A machine that turned slow or fast may have changed again since its last run. */
void rate_comparison::ForgetPassingSpeeds(millis now) {
  for (auto& [id, machine] : machines_) {
    if (!machine.speed_changed || now - machine.latest <= kPassing) continue;
    machine.speed_changed = false;
    machine.groups.clear();
    changed_ = true;
  }
}

void rate_comparison::Estimate(millis now) {
  DropExpiredPriors(now);
  ForgetPassingSpeeds(now);
  if (!changed_ || now < next_estimate_) return;
  changed_ = false;
  next_estimate_ = now + kEstimateInterval;
  while (machines_.size() > kMaxMachines) {
    machines_.erase(std::min_element(
        machines_.begin(), machines_.end(),
        [](const auto& a, const auto& b) { return a.second.latest < b.second.latest; }));
  }
  std::map<std::string_view, std::vector<group_member>> groups;
  for (auto& [id, machine] : machines_) {
    Summarize(machine);
    for (auto& [group, part] : machine.groups) groups[group].push_back({&machine, &part});
  }
  std::erase_if(groups, [](const auto& entry) { return entry.second.size() < 2; });
  for (auto& [id, machine] : machines_) {
    for (auto& [group, part] : machine.groups) {
      if (!groups.contains(group)) part.weight = 0;
    }
    AddUp(machine);
  }
  Join(groups);
  for (int pass = 0; pass < kPasses; ++pass) {
    for (auto& [group, members] : groups) Compare(members);
    for (auto& [id, machine] : machines_) AddUp(machine);
  }
  DropContradictedPriors();
  Publish();
}

void rate_comparison::Publish() {
  estimates_.clear();
  for (auto& [id, machine] : machines_) {
    const double precision = std::min(machine.precision, LeaderOf(machine).level_precision);
    machine_slowness estimate{machine.weighted_sum / machine.precision, 1 / std::sqrt(precision)};
    for (const auto& [group, part] : machine.groups) {
      if (part.weight <= 0) continue;
      estimate.measured = std::max(estimate.measured.value_or(part.latest), part.latest);
    }
    if (machine.prior || estimate.measured) estimates_.emplace(id, estimate);
  }
}

std::optional<machine_slowness> rate_comparison::Of(std::string_view machine) const {
  const auto found = estimates_.find(machine);
  if (found == estimates_.end()) return std::nullopt;
  return found->second;
}

}  // namespace eelgrass
