#include "standins/outcome_check.h"

#include <algorithm>

namespace eelgrass {
namespace {

/** One start of a job, put together from its parts. */
struct start_summary {
  int tasks = 0;
  int64_t last_opened = 0;
  int64_t first_opened = INT64_MAX;
  int64_t first_cut = INT64_MAX;  // first end without success
  int64_t last_end = 0;
  bool all_succeeded = true;
};

std::string Trace(const std::string& job, const std::map<int64_t, start_summary>& starts) {
  std::string text = job + ":";
  for (const auto& [epoch, start] : starts) {
    text += " [start " + std::to_string(epoch) + " opened " + std::to_string(start.first_opened) +
            ".." + std::to_string(start.last_opened) + " ended " + std::to_string(start.last_end) +
            " tasks " + std::to_string(start.tasks) + (start.all_succeeded ? " whole" : " cut") +
            "]";
  }
  return text;
}

}  // namespace

request_findings CheckRequests(const std::vector<told_outcome>& told,
                               const std::vector<execution>& executions,
                               const std::map<std::string, int>& most_at_once, int slots) {
  std::map<std::string, int> runs;
  for (const auto& item : executions) ++runs[item.request];
  request_findings found;
  for (const auto& caller : told) {
    const int count = runs[caller.request];
    if (caller.outcome.empty()) ++found.lost;
    if (caller.outcome == "completed" && count == 0) ++found.lost;
    if (caller.outcome == "not-run" && count > 0 && !caller.idempotent) ++found.false_not_run;
    if (!caller.idempotent && count > 1) ++found.doubled;
    if (caller.outcome == "completed" && caller.answered_id != caller.request) ++found.crossed;
  }
  for (const auto& [upstream, most] : most_at_once) {
    if (most > slots) ++found.over_slots;
  }
  return found;
}

gang_findings CheckGangs(const std::vector<task_run>& runs,
                         const std::map<std::string, expected_job>& expected,
                         int64_t allowed_partial_ms, int64_t now_ms) {
  std::map<std::string, std::map<int64_t, start_summary>> jobs;
  for (const auto& run : runs) {
    if (run.opened_ms == 0) continue;
    start_summary& start = jobs[run.job][run.epoch];
    start.tasks += run.tasks;
    start.first_opened = std::min(start.first_opened, run.opened_ms);
    start.last_opened = std::max(start.last_opened, run.opened_ms);
    const int64_t end = run.ended_ms == 0 ? now_ms : run.ended_ms;
    start.last_end = std::max(start.last_end, end);
    if (run.ended_ms != 0 && !run.success) {
      start.first_cut = std::min(start.first_cut, run.ended_ms);
    }
    start.all_succeeded = start.all_succeeded && run.success;
  }
  gang_findings found;
  for (const auto& [job, starts] : jobs) {
    const auto known = expected.find(job);
    const bool repeatable = known != expected.end() && known->second.idempotent;
    const int before = found.total();
    int whole = 0;
    int64_t previous_end = 0;
    for (const auto& [epoch, start] : starts) {
      const bool complete = known == expected.end() || start.tasks == known->second.tasks;
      if (start.all_succeeded && complete) ++whole;
      if (start.first_opened < previous_end) ++found.doubled;
      previous_end = std::max(previous_end, start.last_end);
      const int64_t partial_start = start.last_opened - start.first_opened;
      const int64_t partial_end =
          start.first_cut == INT64_MAX ? 0 : start.last_end - start.first_cut;
      // Some tasks never worked: the others must have been stopped soon.
      const int64_t incomplete = complete ? 0 : start.last_end - start.first_opened;
      if (std::max({partial_start, partial_end, incomplete}) > allowed_partial_ms) {
        ++found.partial;
      }
    }
    if (whole > 1 && !repeatable) ++found.doubled;
    if (found.total() > before) found.traces.push_back(Trace(job, starts));
  }
  return found;
}

}  // namespace eelgrass
