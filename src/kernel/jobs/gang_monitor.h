/** \file
 * What the anchors of the started gangs have last said.
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
 * Asks after gangs whose anchors are silent, tells anchors to stop theirs, and judges which gangs
 * are lost with their anchor. Messages go to the outbox of its owner.
 */
class gang_monitor {
 public:
  gang_monitor(const cluster& machines, std::vector<send_to_peer>& outbox);

  /** Has a gang, whose anchor has just been told of it, given time for a first report. */
  void Begin(std::string_view job, millis now);

  /** Has a gang whose anchor was restarted asked after at once. */
  void QueryNow(std::string_view job, millis now);

  /** The gang's anchor has reported. */
  void RecordReport(std::string_view job, millis now);

  void Forget(std::string_view job);
  void ForgetAll() { gangs_.clear(); }

  /** Asks after a gang that has said nothing for too long, or that is new here. */
  void QueryIfSilent(const job_row& row, millis now);

  /** Tells the anchor to stop the gang, and again until it has. */
  void Stop(const job_row& row, millis checkpoint, std::string_view reason, millis now);

  /** The anchor knows nothing of the gang; true once the members of a former life have stopped. */
  bool MemberLeasesExpired(std::string_view job, millis now);

  /** Whether the anchor has been away for so long that it has stopped the gang. */
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
