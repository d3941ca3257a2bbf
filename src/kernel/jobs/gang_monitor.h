/** \file
 * Monitors started gangs by the reports of their anchors.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/jobs/cluster.h"
#include "kernel/model/job.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/**
 * Queries gangs whose anchors have not reported, requests stops from anchors, and detects gangs
 * that have ended because their anchor was disconnected or restarted. Messages go to the outbox of
 * the owner.
 */
class gang_monitor {
 public:
  gang_monitor(const cluster& machines, std::vector<send_to_peer>& outbox);

  /** Starts monitoring a gang just committed; its anchor has kReportTimeout for a first report. */
  void Begin(std::string_view job, millis now);

  /** Makes a query due at once for a gang whose anchor was restarted. */
  void QueryNow(std::string_view job, millis now);

  /** The gang's anchor has reported. */
  void RecordReport(std::string_view job, millis now);

  void Forget(std::string_view job);
  void ForgetAll() { gangs_.clear(); }

  /** Queries a gang without a report for too long, or one not monitored before. */
  void QueryIfSilent(const job_row& row, millis now);

  /** Requests a stop of the gang from its anchor; calls within kStopRepeat send nothing. */
  void Stop(const job_row& row, millis checkpoint, std::string_view reason, millis now);

  /**
   * Called when the anchor rejects the gang as unknown. Returns true once the members that an
   * earlier incarnation of the anchor started have stopped, because their leases have expired.
   */
  bool MemberLeasesExpired(std::string_view job, millis now);

  /** Whether the anchor has been disconnected for so long that it has stopped the gang. */
  bool AnchorLost(const job_row& row, millis now) const;

 private:
  struct monitored_gang {
    millis last_report;
    millis next_query;
    millis next_stop;
    millis first_rejected_at{0};
  };

  monitored_gang& Find(std::string_view job) { return gangs_[std::string(job)]; }
  bool RegionReachable(std::string_view region) const;

  const cluster& machines_;
  std::vector<send_to_peer>& outbox_;
  std::map<std::string, monitored_gang, std::less<>> gangs_;
};

}  // namespace eelgrass
