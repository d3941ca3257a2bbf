/** \file
 * Which workers may be given work.
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
 * Follows the windows of the failure domains. A worker serves while its domain is in, it does not
 * leave and is not quarantined. The workers of a domain that comes back are used one after another.
 */
class serving_workers {
 public:
  serving_workers(const cluster& machines, const failure_tracker& failures);

  /** Looks at the domains' windows; true if a domain has left or come back. */
  bool UpdateDomains(const document& doc, millis now, millis wall_now);

  bool Out(std::string_view domain) const { return domains_out_.contains(domain); }

  /** Workers that can back guarantees; one that is away for a short time still does. */
  std::vector<ledger_worker> BackingWorkers(millis now) const;

  /** Finds the workers on which tasks may start now. */
  void CollectUsable(const document& doc, millis now);

  /** Those found last. */
  const std::set<std::string, std::less<>>& usable() const { return usable_; }

 private:
  const cluster& machines_;
  const failure_tracker& failures_;
  std::set<std::string, std::less<>> domains_out_;
  std::map<std::string, millis, std::less<>> domain_returned_;
  std::set<std::string, std::less<>> usable_;
};

}  // namespace eelgrass
