/** \file
 * A worker on its VM, as the agent beside it sees it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "kernel/batch/agent_core.h"
#include "standins/standin_runner.h"
#include "tests/world/draws.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** Where a worker lives. */
struct worker_site {
  int vm = 0;  // index
  std::string domain;
  std::string agent;   // id of the agent beside it
  int64_t day_ms = 0;  // time of day when the world starts
  uint64_t seed = 0;   // of when its workers announce themselves
  runner_options options;
};

/** What all workers of a world do wrong. */
struct worker_faults {
  bool vm_named = true;    // they say on which VM they live
  double late_orders = 0;  // share of orders that get no answer and are carried out seconds later
  double late_holds = 0;   // the same for holds
  millis longest_announcement{120};  // from a worker's start until its first heartbeat

  /** Whether a worker accepts the ticket of a start; empty: it needs none. */
  std::function<bool(std::string_view worker, const start_call& call)> accepts_ticket;
};

/** The agent beside a worker. */
class worker_agent_side {
 public:
  virtual ~worker_agent_side() = default;

  /** Names the process, from its start on; 0: it is not there. */
  virtual int64_t life() const = 0;
  virtual void Tell(agent_event event) = 0;
};

/** One worker after another on a VM: beats at its agent and answers its calls. */
class fake_worker {
 public:
  fake_worker(worker_site site, timeline& events, draws& random, const worker_faults& faults,
              standin_gangs& gangs, runner_observer observe, worker_agent_side& agent);

  /** A new life starts, under a new id if none was set for it. */
  void Start();
  void StartAs(std::string id);

  /** The present life; none between a crash and the next start. */
  standin_runner* runner() { return runner_.get(); }
  const standin_runner* runner() const { return runner_.get(); }

  void Advance();
  void Call(const hold_call& call);
  void Call(const start_call& call);
  void Call(const stop_call& call);

  void Crash(millis down);

  /** Crashes and starts again under its id, after its VM's clock was stepped. */
  void Restart(millis down, millis clock_step);

  /** The VM's time of day is stepped; a life that begins later is born by it. */
  void StepClock(millis step) { clock_step_ += step; }

  /** A heartbeat, or the departure, of the former life arrives now; `dated`: with its birth. */
  void LateBeat();
  void LateLeave(bool dated);

  /** The VM becomes slower or faster, also for lives that begin later. */
  void SetTimePercent(int time_percent);

  /** Says that it leaves, and its process ends. */
  void Leave(millis away);

  /** Says that it leaves; nobody seems to have heard it, so that its process ends after a while. */
  void LeaveUnheard(millis linger, millis away);
  void Drain();

  /** Says that it leaves, is gone after the notice, and comes anew later. */
  void TakeAway(millis notice, millis away);

  /** Carries out all calls and answers none. */
  void SetMute(bool mute) { mute_ = mute; }

  /** Lives, and refuses new connections. */
  void SetRefusing(bool refusing) { refusing_ = refusing; }

 private:
  millis now() const { return events_.now(); }
  bool Is(const worker_identity& meant) const;
  void Beat();
  void BeatAfter(millis delay);
  worker_heartbeat MakeBeat();
  void HoldLate(const hold_call& call, hold_answer answer);
  /** Ends what runs when its lease does, not only when the worker is called next. */
  void WatchLease();
  void WaitForEnd(const hold_call& call, hold_answer answer, millis until);
  template <typename Answer, typename Carry>
  void Order(Answer answer, const Carry& carry);
  template <typename Answer>
  void Reply(Answer answer, millis delay);

  worker_site site_;
  timeline& events_;
  draws& random_;
  draws announcements_;
  const worker_faults& faults_;
  standin_gangs& gangs_;
  const runner_observer observe_;
  worker_agent_side& agent_;
  std::unique_ptr<standin_runner> runner_;
  int64_t born_ms_ = 0;
  millis clock_step_{0};          // of the VM's time of day
  std::string next_id_;           // to start under; empty: a new one
  worker_heartbeat last_beat_;    // of the present life
  worker_heartbeat former_beat_;  // of the life before; no id: there was none
  int64_t sequence_ = 0;
  bool draining_ = false;
  millis leaves_at_{0};  // 0: not said
  bool mute_ = false;
  bool refusing_ = false;
};

}  // namespace eelgrass
