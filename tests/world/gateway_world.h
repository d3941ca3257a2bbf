/** \file
 * One entry's gateway on a virtual clock, with its callers, the operators and the store.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/batch/gateway_core.h"
#include "kernel/batch/operator_source.h"
#include "standins/standin_rows.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** How the store treats this entry's calls. */
enum class store_service {
  kServes,
  kNoFeedAnswers,  // calls that wait for changes get no answer, all others do
  kOnlyReads,      // nor do writes
  kDeafFeed,       // changes are told at the end of a call's wait only
  kRefuses,
  kSilent,
};

/** Runs the gateway's decisions; this process plans, and its planner knows every job. */
class gateway_world {
 public:
  explicit gateway_world(millis config_bound = millis(2000));

  /** A new version of the configuration: the names of its queues, and its only key. */
  void Configure(std::span<const std::string_view> queues, std::string_view key = "key-1");

  /** A configuration that this product cannot read. */
  void ConfigureUnreadably();

  void SetStore(store_service service) { service_ = service; }
  void ForgetHistory() { rows_.ForgetHistory(); }
  void RunFor(millis time) { events_.RunUntil(events_.now() + time); }

  /** Until the next call for the operators' rows has reached the store. */
  void RunUntilOperatorCall();

  /** Calls of callers; each returns the call's number. */
  uint64_t AskWaiting(std::string_view queue, std::string_view key);
  uint64_t Submit(std::string_view queue, std::string_view key);

  /** The planner publishes a forecast now. */
  void Publish(load_forecast forecast);

  /** The answer to a call; none: it has not been answered yet. */
  std::optional<caller_reply> answer(uint64_t call) const;

  /** Whether a call got this answer. */
  bool Answered(uint64_t call, call_answer answer) const;

  /** Calls for the operators' rows so far. */
  int operator_calls() const { return operator_calls_; }
  int inquiries() const { return inquiries_; }
  bool ready() const { return gateway_.ready(); }

 private:
  void Write(std::string value);
  uint64_t Call(caller_call call);
  void Tick();
  void Decide(std::vector<gateway_event> events);
  void CarryOut(gateway_action& action);
  void Serve(const store_request& request);
  void Follow(int64_t token, const row_feed& feed, millis until);
  void Fail(const store_request& request, row_outcome outcome, millis delay);
  void Deliver(store_reply reply, millis delay);

  timeline events_;
  standin_rows rows_;
  store_service service_ = store_service::kServes;
  std::unique_ptr<operator_source> source_;
  std::unique_ptr<batch_record_codec> codec_;
  gateway_core gateway_;
  int64_t version_ = 0;
  int64_t term_ = 0;
  uint64_t last_call_ = 0;
  std::map<uint64_t, caller_reply> answers_;
  int operator_calls_ = 0;
  int inquiries_ = 0;
};

}  // namespace eelgrass
