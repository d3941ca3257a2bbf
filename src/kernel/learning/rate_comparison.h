/** \file
 * Compares machines by the rates at which they do equal work.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"

namespace eelgrass {

/** The rate at which one run does its share of equal work. */
struct rate_sample {
  std::string machine;
  std::string group;  // runs of one group do about the same work
  std::string run;    // a later sample of a run replaces the earlier one
  double rate = 0;    // percent of the work per second
  double spread = 0;  // standard deviation of log(work) within the group
};

/** How much longer than others a machine takes for the same work, as a logarithm. */
struct machine_slowness {
  double mean = 0;
  double deviation = 0;              // standard deviation of the mean
  std::optional<millis> measured{};  // latest comparison by own runs; none: a prior alone
};

/** What is known of a machine from elsewhere. */
struct machine_prior {
  machine_slowness slowness;
  millis measured{0};                // measurements up to then are replaced
  millis until = millis(INT64_MAX);  // not used from then on
};

/**
 * Estimates the relative speed of machines from groups of runs with equal work. Neither the work of
 * a group nor the speed of a machine is known beforehand: each group compares its machines with one
 * another, and machines that appear in several groups connect these. The estimate passes Gaussian
 * messages between groups and machines: what a group tells of a machine rests on what the other
 * groups tell of the remaining machines, so that no comparison confirms itself.
 */
class rate_comparison {
 public:
  /** Records the latest rate of a run. */
  void Observe(const rate_sample& sample, millis now);

  /**
   * Takes a machine to have this slowness until its own runs show one that differs by more than a
   * factor of 1.4.
   */
  void SetPrior(std::string_view machine, const machine_prior& prior);

  /** Recomputes the estimates if there are new samples. */
  void Estimate(millis now);

  /** The estimate of a machine; none before anything was learned of it. */
  std::optional<machine_slowness> Of(std::string_view machine) const;

  /** All estimates by machine. */
  const std::map<std::string, machine_slowness, std::less<>>& estimates() const {
    return estimates_;
  }

 private:
  /** The runs of one group on one machine, and what the group tells of the machine. */
  struct comparison {
    struct run_rate {
      double log_rate = 0;
      millis at{0};
      double settled = 0;  // log_rate at first, or at the latest change of the machine
    };
    std::map<std::string, run_rate, std::less<>> runs;
    double spread = 0;
    millis latest{0};
    double log_rate = 0;   // typical of the runs
    double variance = 0;   // of that
    double weight = 0;     // message to the machine: inverse variance
    double message = 0;    // and mean
    double age_share = 1;  // of the weight that counts, by its age
  };
  struct machine_record {
    std::map<std::string, comparison, std::less<>> groups;
    std::optional<machine_prior> prior;
    double precision = 0;
    double weighted_sum = 0;
    millis latest{0};
    bool speed_changed = false;        // while it was measured
    machine_record* leader = nullptr;  // of the machines that it is compared with, also indirectly
    double level_precision = 0;        // leader: of the level that these machines have in common
  };
  struct group_member {
    machine_record* machine = nullptr;
    comparison* part = nullptr;
  };

  static void Summarize(machine_record& machine);
  static void AddUp(machine_record& machine);
  static void Compare(const std::vector<group_member>& members);
  static void DropOldest(machine_record& machine);
  static machine_record& LeaderOf(machine_record& machine);
  static double OwnPrecision(const machine_record& machine);
  void Join(const std::map<std::string_view, std::vector<group_member>>& groups);
  void ForgetPassingSpeeds(millis now);
  static bool Contradicts(const machine_record& machine);
  void DropExpiredPriors(millis now);
  void DropContradictedPriors();
  void Publish();

  std::map<std::string, machine_record, std::less<>> machines_;
  std::map<std::string, machine_slowness, std::less<>> estimates_;
  bool changed_ = false;
  millis next_estimate_{0};
  millis next_expiry_ = millis(INT64_MAX);  // of a prior
};

}  // namespace eelgrass
