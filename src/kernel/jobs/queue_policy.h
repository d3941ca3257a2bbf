/** \file
 * Interface of the ordering plug-ins, which determine the order of waiting jobs.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/base/plugin_registry.h"
#include "kernel/model/document.h"

namespace eelgrass {

/** The properties of a waiting job that an ordering policy may use. */
struct waiting_job {
  std::string_view id;
  urgency rank = urgency::kNormal;
  millis waited{0};
  millis estimate{0};      // expected run time that remains
  double size = 0;         // share of the cluster that it requests
  double owner_usage = 0;  // share of the cluster that its organisation uses, divided by its weight
};

/** Orders waiting jobs. Implementations are stateless. */
class queue_policy {
 public:
  virtual ~queue_policy() = default;

  /** Returns the indices of the jobs in the order in which to consider them. */
  virtual std::vector<size_t> Order(std::span<const waiting_job> jobs) const = 0;

  /** Whether a job may start before an earlier one in the order that does not fit yet. */
  virtual bool MayOvertake() const = 0;
};

using queue_registry = plugin_registry<queue_policy>;

template <typename Implementation>
using queue_registration = plugin_registration<queue_registry, queue_policy, Implementation>;

}  // namespace eelgrass
