/** \file
 * The platform's workers in memory: leases, fences, gangs and ends.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/batch/worker_calls.h"

namespace eelgrass {

/** How a stand-in task behaves. A job's text holds one for each step, as JSON. */
struct task_behavior {
  int64_t work_ms = 1000;
  int gang = 0;   // members that have to be there; 0: none
  int fails = 0;  // so many runs fail at half of their work
};

/** The text of a job whose steps behave like this. */
std::string BehaviorText(const std::vector<task_behavior>& steps);

/** What is seen at workers: for checks. */
struct runner_event {
  enum class kind { kStarted, kEnded, kSeen, kDied };
  kind what = kind::kStarted;
  std::string worker;
  int64_t born_ms = 0;
  std::string task;
  int64_t run = 0;
  int64_t number = 0;  // kEnded, kSeen
  run_end how = run_end::kDone;
  std::string spec;
  std::string saved;
  millis at{0};
  bool late = false;    // kStarted: the order was carried out late
  bool lapsed = false;  // kSeen: the lease lapsed after the end
};

using runner_observer = std::function<void(const runner_event&)>;

/** How much work a worker would have done so far, at the speeds that it has had. */
class work_clock {
 public:
  work_clock(int time_percent, millis now) : time_percent_(time_percent), since_(now) {}

  /** From now on, work takes this share of the time that it takes at a usual worker. */
  void SetTimePercent(int time_percent, millis now);

  /** Milliseconds of work of a usual worker. */
  double At(millis now) const;

 private:
  int time_percent_;
  millis since_;
  double before_ = 0;
};

/** Work that began at some time on a worker. */
struct work_span {
  std::shared_ptr<const work_clock> clock;
  double began = 0;     // by the clock
  int64_t done_ms = 0;  // work done before

  /** All work done so far. */
  int64_t DoneAt(millis now) const;
};

/** What workers share: gangs, with who is there and since when all are, and how often tasks ran. */
class standin_gangs {
 public:
  struct gang {
    std::map<std::string, work_span> members;  // by task; each at the speed of its worker
    bool complete = false;                     // all are there and work
    millis first_at{0};
    bool broken = false;
    bool done = false;

    void Begin(millis now);

    /** What the slowest member has done. */
    int64_t DoneAt(millis now) const;
  };
  gang& Get(std::string_view task, int64_t run);

  /** Counts the runs of a task at all workers, this one included. */
  int CountRun(std::string_view task) { return ++counts_[std::string(task)]; }

 private:
  std::map<std::string, int> counts_;
  std::map<std::pair<std::string, int64_t>, gang> gangs_;
};

struct runner_options {
  amounts capacity{32000, 131072, 8};
  millis longest_hold{6000};
  millis stop_time{300};
  millis gang_timeout{3000};
  millis checkpoint{500};
  int time_percent = 100;      // what work takes here of the time that it takes at a usual worker
  bool lists_progress = true;  // otherwise 100 percent is listed from the start on
};

/** One life of a worker. */
class standin_runner {
 public:
  standin_runner(worker_identity self, runner_options options, standin_gangs& gangs,
                 runner_observer observe, millis now);

  /** `late`: the call is carried out seconds after it was sent. */
  call_outcome Start(const start_call& call, millis now, start_refusal& refusal, bool late = false);
  call_outcome Stop(const stop_call& call, millis now);

  /** Takes what a hold brings; the lists are read with Lists. */
  void Hold(const hold_call& call, millis now);
  void Lists(millis now, hold_answer& answer) const;

  /** Whether there is an end that a hold with this number has not seen. */
  bool HasEndAfter(int64_t seen_upto) const;

  /** Lets time pass: work gets done, gangs break, leases lapse. */
  void Advance(millis now);

  /** The VM loses power or the process is killed. */
  void Die(millis now);

  /** The worker becomes slower or faster, also in the middle of its runs. */
  void SetTimePercent(int time_percent, millis now) { work_->SetTimePercent(time_percent, now); }

  /** Every run from now on fails at once. */
  void SetSick(bool sick) { sick_ = sick; }

  const worker_identity& self() const { return self_; }
  const runner_options& options() const { return options_; }
  int64_t ClockAt(millis now) const;

  /** How long the lease of what runs lasts; 0: it has lapsed, or nobody has granted one. */
  millis LeaseLeft(millis now) const;
  int64_t fence() const { return fence_; }
  size_t running() const { return runs_.size(); }

 private:
  struct run_state {
    std::string task;
    int64_t run = 0;
    std::string spec;
    task_behavior behavior;
    work_span work;     // of a single task; members of a gang: see there
    millis stop_at{0};  // 0: not being stopped
    bool bad = false;   // ends as failed
  };

  bool TakeFence(int64_t fence);
  void TakeDeadline(int64_t deadline_ms);
  void End(const run_ref& ref, run_end how, millis now);
  void AdvanceRun(const run_ref& ref, run_state& run, millis now,
                  std::vector<std::pair<run_ref, run_end>>& ends);
  int64_t WorkDone(const run_state& run, millis now) const;
  int64_t Percent(const run_state& run, millis now) const;
  runner_event MakeEvent(runner_event::kind what, const run_state& run, millis now, int64_t number,
                         run_end how) const;

  const worker_identity self_;
  const runner_options options_;
  const std::shared_ptr<work_clock> work_;
  standin_gangs& gangs_;
  const runner_observer observe_;
  const millis started_;
  int64_t fence_ = 0;
  int64_t deadline_ms_ = 0;
  int64_t seen_upto_ = 0;
  int64_t last_number_ = 0;
  bool sick_ = false;
  std::map<run_ref, run_state> runs_;
  std::map<std::string, int64_t> barred_;  // by task: highest run that was stopped or has ended
  std::vector<listed_end> ended_;
  int64_t lapsed_upto_ = 0;  // the lease has lapsed since the ends up to this number
};

}  // namespace eelgrass
