/** \file
 * The service that says which workers may run a step.
 */
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "kernel/advice/advice_messages.h"
#include "kernel/batch/worker_calls.h"
#include "kernel/model/batch_config.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** Answers one call at a time for each caller, in turn. Its tickets expire. */
class fake_advice {
 public:
  using policy = std::function<bool(std::string_view step, std::string_view worker)>;

  explicit fake_advice(timeline& events) : events_(events) {}

  /** How long calls take and tickets last, and the queue whose steps need them. */
  void SetQueue(std::string_view queue, const advice_policy& times);
  bool Covers(std::string_view queue) const { return queue == queue_; }
  void AddJob(std::string_view job) { jobs_.insert(std::string(job)); }

  /** Which workers may run a step; all may at first. */
  void SetPolicy(policy allowed) { allowed_ = std::move(allowed); }

  /** Calls get an answer, or none. They do from the start. */
  void SetAnswers(bool answers) { answers_ = answers; }

  /** Calls take this many times as long as the policy says. */
  void SetSlowness(int factor) { slowness_ = factor; }

  void Ask(const std::string& caller, const advice_request& request,
           const std::function<void(advice_reply)>& done);

  /** Whether a worker may start a run: with the ticket that was given last, while it lasts. */
  bool Accepts(std::string_view worker, const start_call& call);

  int calls() const { return calls_; }
  int starts_refused() const { return starts_refused_; }

 private:
  struct given_ticket {
    std::string text;
    millis until{0};
  };
  static advice_reply Unanswered(const advice_request& request);
  advice_reply Answer(const advice_request& request);

  timeline& events_;
  std::string queue_;
  advice_policy times_;
  policy allowed_;
  bool answers_ = true;
  int slowness_ = 1;
  int calls_ = 0;
  int starts_refused_ = 0;
  std::map<std::string, millis> busy_until_;                           // by caller
  std::set<std::string, std::less<>> jobs_;                            // that need tickets
  std::map<std::pair<std::string, std::string>, given_ticket> given_;  // by step and worker
};

}  // namespace eelgrass
