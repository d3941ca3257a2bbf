/** \file
 * Which started jobs run within their organisation's guarantee.
 */
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/jobs/cluster.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/model/document.h"

namespace eelgrass {

/**
 * Keeps the ledger of the guarantees and holds the started jobs against it: a job whose part of a
 * worker is no longer backed becomes a borrower, and a borrower that fits into what is unused of
 * its organisation's shares may be taken in.
 */
class guarantee_coverage {
 public:
  explicit guarantee_coverage(cluster& machines) : machines_(machines) {}

  /** Adapts the ledger to a document and to the workers that can run tasks. */
  void Update(const document& doc, std::span<const ledger_worker> workers);

  /** Whether the shares of its organisation back all that the allocation's workers run of it. */
  bool Covers(const allocation& held) const;

  /** Jobs with an allocation that borrow, or that do not. */
  std::vector<std::string> Jobs(bool borrowing) const;

  /** Makes a job a borrower if its guarantee no longer backs it; true if it was. */
  bool DemoteUncovered(std::string_view job);

  /** Takes a borrower into its organisation's guarantee if it fits; true if it was. */
  bool PromoteCovered(std::string_view job);

  const guarantee_ledger& ledger() const { return ledger_; }

  /** Jobs made borrowers since the start. */
  int64_t demoted() const { return demoted_; }

 private:
  cluster& machines_;
  guarantee_ledger ledger_;
  int64_t demoted_ = 0;
};

}  // namespace eelgrass
