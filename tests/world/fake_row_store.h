/** \file
 * The platform's store of rows as entries and agents reach it, with its faults.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "kernel/batch/store_exchange.h"
#include "standins/standin_rows.h"
#include "tests/world/draws.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** The store's clock is this much ahead of the clocks of the VMs. */
inline constexpr millis kStoreClockAhead{3600000};

/** What the store does to calls. */
enum class store_fault { kNone, kRefuses, kSilent, kLosesAnswers, kLateWrites };

/** Who has called the store: an agent, or the gateway or the planner of an entry, in one life. */
struct store_caller {
  std::string process;
  int64_t life = 0;
  bool gateway = false;
};

/** The processes, as the store sees them. */
class store_callers {
 public:
  virtual ~store_callers() = default;

  /** Whether that life of the process is still there. */
  virtual bool Lives(const store_caller& caller) const = 0;
  virtual bool Reaches(const store_caller& caller) const = 0;

  /** Whether the connections of a caller that does not reach the store are refused. */
  virtual bool Refused(const store_caller& caller) const = 0;

  /** Hands an answer over after a time. */
  virtual void Answer(const store_caller& caller, store_reply reply, millis delay) = 0;
};

/** Carries calls out on rows in memory, and holds feeds until there is something to tell. */
class fake_row_store {
 public:
  fake_row_store(timeline& events, draws& random, store_callers& callers);

  void Call(const store_caller& caller, const store_request& request);

  void SetFault(store_fault fault) { fault_ = fault; }
  void SetFaultFor(std::string_view process, store_fault fault) {
    process_faults_[std::string(process)] = fault;
  }

  /** Changes reach whoever follows them this much later. */
  void SetFeedDelay(millis delay) { feed_delay_ = delay; }

  standin_rows& rows() { return rows_; }
  const standin_rows& rows() const { return rows_; }
  int calls() const { return calls_; }

 private:
  store_fault FaultFor(const store_caller& caller) const;
  void Write(const store_caller& caller, const store_request& request, store_fault fault);
  void FollowFeed(const store_caller& caller, const store_request& request, millis until);
  void Fail(const store_caller& caller, const store_request& request, row_outcome outcome,
            millis delay);
  void Answer(const store_caller& caller, store_reply reply, millis delay);

  timeline& events_;
  draws& random_;
  store_callers& callers_;
  standin_rows rows_;
  store_fault fault_ = store_fault::kNone;
  std::map<std::string, store_fault, std::less<>> process_faults_;
  millis feed_delay_{0};
  int calls_ = 0;
};

}  // namespace eelgrass
