/** \file
 * Coordinates the job starts in progress at the planning entry.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/cluster.h"
#include "kernel/jobs/gang_monitor.h"
#include "kernel/jobs/job_scheduler.h"
#include "kernel/model/document.h"
#include "kernel/model/job.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/**
 * Runs each start through its phases: borrowers are evicted, the job's row is claimed, all members
 * reserve, and the commit is sent to the anchor. The owner of this object writes the rows.
 */
class start_coordinator {
 public:
  using job_rows = std::map<std::string, job_row, std::less<>>;

  start_coordinator(const job_rows& rows, cluster& machines, gang_monitor& monitor,
                    std::vector<send_to_peer>& outbox);

  void Begin(start_decision decision);
  bool Contains(std::string_view job) const { return pending_.contains(job); }

  /** Starts whose evictions are complete, and starts whose reservation has timed out. */
  struct due_starts {
    std::vector<std::string> to_claim;
    std::vector<std::string> late;
  };

  /** Repeats the stop requests to borrowers and returns the starts that are due. */
  due_starts Advance(millis now);

  /** Returns the row to write to claim the start. */
  job_row Claim(const std::string& job, millis wall_now);

  /** Requests the reservations from all members once the claim is stored; ignores other rows. */
  void OnStored(const job_row& row, const document& doc, millis now);

  enum class reservation { kOpen, kRefused, kComplete };

  /** Records a member's answer and returns the resulting state of the whole reservation. */
  reservation OnAnswer(std::string_view agent, const reserve_answer& answer);

  /** Sends the commit to the anchor and removes the start. */
  void Commit(const std::string& job, const document& doc, millis now);

  /** Releases the members' reservations and removes the start. */
  void Abort(const std::string& job);

  /** Whether a row written by another entry makes the pending start of the job obsolete. */
  bool Superseded(const job_row& row) const;

  void Forget(const std::string& job) { pending_.erase(job); }

  /**
   * Drops all pending starts because another entry plans now. That entry resolves claimed starts
   * by querying their anchors.
   */
  void Abandon();

  int64_t started() const { return started_; }
  int64_t aborted() const { return aborted_; }

 private:
  enum class phase { kEvicting, kClaiming, kReserving };

  struct pending_start {
    start_decision decision;
    phase at = phase::kEvicting;
    std::set<std::string, std::less<>> awaiting;
    millis deadline;
  };

  bool BorrowersStopped(const pending_start& start, millis now);

  const job_rows& rows_;
  cluster& machines_;
  gang_monitor& gang_monitor_;
  std::vector<send_to_peer>& outbox_;
  std::map<std::string, pending_start, std::less<>> pending_;
  int64_t started_ = 0;
  int64_t aborted_ = 0;
};

}  // namespace eelgrass
