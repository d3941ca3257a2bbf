/** \file
 * Checks the promises about batch jobs, from what callers and workers see.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/batch/caller_call.h"
#include "standins/standin_runner.h"

namespace eelgrass {

/** Remembers what was seen and collects broken promises as lines of text. */
class batch_check {
 public:
  void OnRunner(const runner_event& event);
  void OnSubmitted(const batch_job& job);
  void OnAnswer(std::string_view job, call_kind kind, const caller_reply& reply, millis now);

  /** Judges what can only be judged at the end: everything accepted has come to an end. */
  void Finish();

  const std::vector<std::string>& broken() const { return broken_; }
  int starts() const { return starts_; }
  int ends(run_end how) const;
  bool accepted(std::string_view job) const;

  /** When the first run of a task began; none: it has not. */
  std::optional<millis> began(std::string_view task) const;

  /** When a job was first shown as completed. */
  std::optional<millis> completed(std::string_view job) const;

 private:
  struct seen_job {
    batch_job job;
    bool accepted = false;
    millis accepted_at{0};
    bool unclear = false;  // some try was neither accepted nor refused for certain
    bool started = false;
    std::optional<millis> cancelled;
    std::optional<millis> completed;
    batch_state shown = batch_state::kPending;
  };
  struct live_run {
    std::string worker;
    int64_t born_ms = 0;
    int64_t run = 0;
  };

  void OnDoneNoted(const runner_event& event);
  void Break(std::string_view rule, std::string_view what, millis at);

  std::map<std::string, seen_job, std::less<>> jobs_;
  std::map<std::string, std::vector<live_run>> live_;  // by task
  std::map<std::string, millis, std::less<>> began_;   // by task
  std::set<std::string> done_noted_;                   // tasks whose done end was seen
  struct done_end {
    std::string worker;
    int64_t born_ms = 0;
    int64_t number = 0;
    bool ran_again = false;  // the task has started since
  };
  std::map<std::string, std::vector<done_end>> done_ends_;  // not yet noted, by task
  std::map<run_end, int> ends_;
  std::map<std::string, int> failures_;  // by task
  std::vector<std::string> broken_;
  int starts_ = 0;
};

}  // namespace eelgrass
