/** \file
 * Baseline: first come, first served; nothing overtakes.
 */
#include <algorithm>
#include <numeric>

#include "kernel/jobs/queue_policy.h"

namespace eelgrass {
namespace {

/** Strict order of submission. */
class fifo : public queue_policy {
 public:
  std::vector<size_t> Order(std::span<const waiting_job> jobs) const override {
    std::vector<size_t> order(jobs.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [jobs](size_t a, size_t b) { return jobs[a].waited > jobs[b].waited; });
    return order;
  }

  bool MayOvertake() const override { return false; }
};

const queue_registration<fifo> kRegistration("fifo");

}  // namespace
}  // namespace eelgrass
