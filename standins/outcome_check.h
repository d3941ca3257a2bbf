/** \file
 * Compares what callers were told with what the stand-ins have run.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standins/standin_service.h"
#include "standins/task_log.h"

namespace eelgrass {

/** What one caller was told. */
struct told_outcome {
  std::string request;      // the caller's own id
  std::string outcome;      // completed, not-run, unknown; empty: no answer at all
  std::string answered_id;  // the id in the answer's body
  bool idempotent = false;
};

/** Violations among requests; all must be zero. */
struct request_findings {
  int lost = 0;           // no answer, or completed without having run
  int doubled = 0;        // not idempotent, and run more than once
  int false_not_run = 0;  // told "not run", but it has run
  int crossed = 0;        // another request's answer
  int over_slots = 0;     // upstreams that ran more at once than they have slots

  int total() const { return lost + doubled + false_not_run + crossed + over_slots; }
};

request_findings CheckRequests(const std::vector<told_outcome>& told,
                               const std::vector<execution>& executions,
                               const std::map<std::string, int>& most_at_once, int slots);

/** Violations among gangs; all must be zero. */
struct gang_findings {
  int doubled = 0;  // jobs that ran twice at once, or finished twice though that is not allowed
  int partial = 0;  // starts in which some tasks worked without the others for longer than allowed
  std::vector<std::string> traces;  // the starts of the jobs concerned
  int total() const { return doubled + partial; }
};

/** What is known of a job from its submission. */
struct expected_job {
  int tasks = 0;
  bool idempotent = true;  // may finish twice, when the first report was lost with its agent
};

/** `allowed_partial_ms` is bounded by the leases of the gang and of the worker. */
gang_findings CheckGangs(const std::vector<task_run>& runs,
                         const std::map<std::string, expected_job>& expected,
                         int64_t allowed_partial_ms, int64_t now_ms);

}  // namespace eelgrass
