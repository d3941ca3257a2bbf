/** \file
 * Tracks which started jobs run within their organisation's guarantee.
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
 * Maintains the guarantee ledger and checks the started jobs against it. A job whose use of a
 * worker is no longer backed becomes a borrower; a borrower that fits into the unused shares of its
 * organisation may become covered by the guarantee.
 */
class guarantee_coverage {
 public:
  explicit guarantee_coverage(cluster& machines) : machines_(machines) {}

  /** Updates the ledger for a document and the workers that can back guarantees. */
  void Update(const document& doc, std::span<const ledger_worker> workers);

  /**
   * Whether, on every worker of the allocation, the organisation's share covers all that its jobs
   * use there within the guarantee.
   */
  bool Covers(const allocation& held) const;

  /** Returns the jobs whose allocation borrows, or with false those within a guarantee. */
  std::vector<std::string> Jobs(bool borrowing) const;

  /** Makes a job a borrower if its guarantee no longer backs it; returns whether it did. */
  bool DemoteUncovered(std::string_view job);

  /** Moves a borrower into its organisation's guarantee if it fits; returns whether it did. */
  bool PromoteCovered(std::string_view job);

  const guarantee_ledger& ledger() const { return ledger_; }

  /** Number of jobs made borrowers since this object was created. */
  int64_t demoted() const { return demoted_; }

 private:
  cluster& machines_;
  guarantee_ledger ledger_;
  int64_t demoted_ = 0;
};

}  // namespace eelgrass
