/** \file
 * Orders by urgency, then by response ratio, corrected by what the organisation uses.
 */
#include <algorithm>
#include <cmath>
#include <numeric>

#include "kernel/jobs/queue_policy.h"

namespace eelgrass {
namespace {

constexpr double kUsageWeight = 2;  // an organisation with the whole cluster counts a third
constexpr double kMinEstimateMs = 1000;
constexpr millis kBatchPatience{1800000};  // after which batch work ranks as normal

/**
 * Highest response ratio next: (waited + estimate) / estimate. Short jobs go first, and every job's
 * ratio grows without bound while it waits, so that none starves.
 */
class fair_share : public queue_policy {
 public:
  std::vector<size_t> Order(std::span<const waiting_job> jobs) const override {
    std::vector<double> scores;
    scores.reserve(jobs.size());
    for (const auto& job : jobs) scores.push_back(Score(job));
    std::vector<size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
      if (Rank(jobs[a]) != Rank(jobs[b])) return Rank(jobs[a]) < Rank(jobs[b]);
      if (scores[a] != scores[b]) return scores[a] > scores[b];
      return jobs[a].id < jobs[b].id;
    });
    return order;
  }

  bool MayOvertake() const override { return true; }

 private:
  static urgency Rank(const waiting_job& job) {
    const bool aged = job.rank == urgency::kBatch && job.waited > kBatchPatience;
    return aged ? urgency::kNormal : job.rank;
  }

  static double Score(const waiting_job& job) {
    const double estimate = std::max(kMinEstimateMs, static_cast<double>(job.estimate.count()));
    const double waited = std::max<double>(0, static_cast<double>(job.waited.count()));
    return (waited + estimate) / estimate / (1 + kUsageWeight * job.owner_usage);
  }
};

const queue_registration<fair_share> kRegistration("fair_share");

}  // namespace
}  // namespace eelgrass
