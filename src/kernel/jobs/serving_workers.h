/** \file
 * Determines which workers may run tasks and back guarantees.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/cluster.h"
#include "kernel/jobs/failure_tracker.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/model/document.h"

namespace eelgrass {

/**
 * Tracks the service windows of the failure domains. A worker serves while its domain is in service
 * and the worker is neither draining nor quarantined. The workers of a domain that returns to
 * service become usable one after another.
 */
class serving_workers {
 public:
  serving_workers(const cluster& machines, const failure_tracker& failures);

  /** Evaluates the service windows; returns whether a domain went out of or back into service. */
  bool UpdateDomains(const document& doc, millis now, millis wall_now);

  bool Out(std::string_view domain) const { return domains_out_.contains(domain); }

  /** Workers that can back guarantees, including those disconnected for a short time only. */
  std::vector<ledger_worker> BackingWorkers(millis now) const;

  /** Updates usable(): the workers on which tasks may start now. */
  void CollectUsable(const document& doc, millis now);

  /** Result of the last CollectUsable(). */
  const std::set<std::string, std::less<>>& usable() const { return usable_; }

 private:
  const cluster& machines_;
  const failure_tracker& failures_;
  std::set<std::string, std::less<>> domains_out_;
  std::map<std::string, millis, std::less<>> domain_returned_;
  std::set<std::string, std::less<>> usable_;
};

}  // namespace eelgrass
