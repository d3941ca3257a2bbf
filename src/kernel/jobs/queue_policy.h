/** \file
 * In which order waiting jobs are considered: the interface of the ordering plug-ins.
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

/** A waiting job as an ordering policy sees it. */
struct waiting_job {
  std::string_view id;
  urgency rank = urgency::kNormal;
  millis waited{0};
  millis estimate{0};      // corrected run time
  double size = 0;         // share of the cluster that it asks for
  double owner_usage = 0;  // share of the cluster that its organisation uses, per weight
};

/** Orders waiting jobs. Stateless. */
class queue_policy {
 public:
  virtual ~queue_policy() = default;

  /** Indices of the jobs, the one to consider first at the front. */
  virtual std::vector<size_t> Order(std::span<const waiting_job> jobs) const = 0;

  /** Whether a job may start before one that comes earlier and does not fit yet. */
  virtual bool MayOvertake() const = 0;
};

using queue_registry = plugin_registry<queue_policy>;

template <typename Implementation>
using queue_registration = plugin_registration<queue_registry, queue_policy, Implementation>;

}  // namespace eelgrass
