/** \file
 * Selects the waiting jobs to start, their workers, and the borrowers to evict for them.
 */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/cluster.h"
#include "kernel/jobs/failure_tracker.h"
#include "kernel/jobs/guarantee_ledger.h"
#include "kernel/jobs/placement_policy.h"
#include "kernel/jobs/queue_policy.h"
#include "kernel/jobs/runtime_estimator.h"
#include "kernel/model/job.h"

namespace eelgrass {

/** A borrowing job to evict. */
struct eviction {
  std::string job;
  millis checkpoint;  // time allowed for its checkpoint; 0 stops it at once
  int64_t epoch = 0;  // of the start to evict; a later start may run on other workers
};

/** A job that can start, at once or after its evictions have completed. */
struct start_decision {
  std::string job;
  std::vector<gang_member> members;
  bool borrowing = false;
  std::vector<eviction> evictions;
};

/** Input of a scheduling round. The planner owns everything that it refers to. */
struct schedule_view {
  const document& doc;
  cluster& machines;
  const guarantee_ledger& ledger;
  const runtime_estimator& estimator;
  const failure_tracker& failures;
  std::span<const job_row* const> waiting;
  std::span<const job_row* const> running;
  const std::set<std::string, std::less<>>& usable;  // workers on which tasks may start
  millis now;
  millis wall_now;
};

/**
 * Considers the waiting jobs in the order of the queue policy and places each
 *   1. within its organisation's guarantee where that is free,
 *   2. as a borrower on free capacity,
 *   3. within the guarantee by stopping borrowers.
 * An urgent job tries 3 before 2. The first job that does not fit gets a backfill reservation:
 * later jobs may use the reserved capacity only if they are expected to end before it is needed.
 */
class job_scheduler {
 public:
  job_scheduler(std::unique_ptr<queue_policy> ordering,
                std::unique_ptr<placement_policy> placement);

  /**
   * Returns the jobs to start. Each decision is allocated in `view.machines` at once, so that later
   * decisions of the same round take it into account.
   */
  std::vector<start_decision> Plan(const schedule_view& view);

  /** Expected end of a running job, in wall time. */
  static millis ExpectedEnd(const schedule_view& view, const job_row& row);

 private:
  enum class placement_mode { kOwnFree, kBorrow, kOwnByEviction };

  struct backfill_reservation {
    millis until;  // wall time at which the reserved capacity is needed
    std::map<std::string, resources, std::less<>> amounts;
  };

  /** A worker on which tasks may start, with the values that stay constant during a round. */
  struct candidate {
    const worker_state* worker;
    resources held;     // by guarantees of all organisations
    bool on_probation;  // back from quarantine, no success since
  };

  void CollectCandidates(const schedule_view& view);
  std::vector<size_t> OrderWaiting(const schedule_view& view) const;
  std::optional<start_decision> TryStart(const schedule_view& view, const job_row& row);
  std::optional<start_decision> TryMode(const schedule_view& view, const job_row& row,
                                        placement_mode how);
  void CollectAvailable(const schedule_view& view, const job_row& row, placement_mode how);
  void CollectGuaranteed(const schedule_view& view, const job_row& row, bool evicting);
  bool MayUse(const schedule_view& view, const job_row& row, const candidate& place) const;
  bool EndsBeforeWindow(const schedule_view& view, const job_row& row,
                        const worker_state& worker) const;
  bool ChooseVictims(const schedule_view& view, const job_row& row,
                     const std::vector<gang_member>& members,
                     std::vector<eviction>& evictions) const;
  void ReservePlace(const schedule_view& view, const job_row& row);
  std::string FailureKey(const job_row& row, placement_mode how) const;

  const std::unique_ptr<queue_policy> ordering_;
  const std::unique_ptr<placement_policy> placement_;
  std::vector<candidate> candidates_;
  std::map<std::string_view, size_t> candidate_index_;
  std::map<std::string_view, const job_row*> running_;
  std::vector<available_worker> available_;
  std::vector<placed_part> parts_;
  std::set<std::string, std::less<>> failed_;  // FailureKey()s that failed in this round
  std::optional<backfill_reservation> reservation_;
};

}  // namespace eelgrass
