/** \file
 * Starts of jobs that are under way at the entry that plans.
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
 * Takes each start through its steps: borrowers leave, the job's row is claimed, all members
 * reserve, and the anchor is told to commit. Rows are written by the owner.
 */
class start_coordinator {
 public:
  using job_rows = std::map<std::string, job_row, std::less<>>;

  start_coordinator(const job_rows& rows, cluster& machines, gang_monitor& monitor,
                    std::vector<send_to_peer>& outbox);

  void Begin(start_decision decision);
  bool Contains(std::string_view job) const { return pending_.contains(job); }

  /** Starts whose borrowers have left, and those that were not reserved in time. */
  struct due_starts {
    std::vector<std::string> to_claim;
    std::vector<std::string> late;
  };

  /** Tells borrowers to leave, again and again, and finds what is due. */
  due_starts Advance(millis now);

  /** The row that claims the start. */
  job_row Claim(const std::string& job, millis wall_now);

  /** The claim is stored: asks all members to reserve. Does nothing for another row. */
  void OnStored(const job_row& row, const document& doc, millis now);

  enum class reservation { kOpen, kRefused, kComplete };

  /** A member has answered; says how the reservation stands by it. */
  reservation OnAnswer(std::string_view agent, const reserve_answer& answer);

  /** Tells the anchor to start the gang; the flow is over. */
  void Commit(const std::string& job, const document& doc, millis now);

  /** Releases what members have reserved; the flow is over. */
  void Abort(const std::string& job);

  /** Whether a row that another entry has written leaves no sense in the job's start. */
  bool Superseded(const job_row& row) const;

  void Forget(const std::string& job) { pending_.erase(job); }

  /** Another entry plans now; it settles claimed starts through the anchors. */
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
