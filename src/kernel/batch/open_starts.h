/** \file
 * The starts that workers may still carry out.
 */
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/worker_calls.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** Limit for what others state: an ordered start is open for a lease more than a sent one. */
inline constexpr millis kLongestOpen = kLatestExecution * 2;

/** A task that a worker may still start. */
struct task_at_worker {
  task_ref task;
  std::string_view worker;  // id
  millis since{0};          // a start of it has been open there all the time
};

/** A start under a worker's id that may still be carried out. */
struct open_start {
  task_ref task;
  int64_t run = 0;
  int64_t process = 0;      // incarnation of the agent that calls; 0: not known
  millis until{0};          // not carried out after this
  millis settled_after{0};  // an ended process of the agent may have called; 0: none has
  bool stated = false;      // by the agent's present process, as without an answer
  bool told = false;        // by another entry or the store, or left over from a closed run
  bool ordered = false;     // by this planner: calls may still be sent
  bool known = false;       // to another entry or the store
  int64_t notice = 0;       // the last one that tells of it; 0: none
  millis told_at{0};        // when it became due to be told
};

/** The starts that may still be carried out under one worker's id. */
struct worker_starts {
  std::string agent;  // that calls the worker; empty: not known
  std::string address;
  std::string vm;
  std::vector<open_start> starts;
  std::map<std::string, millis> since;  // by task
};

/**
 * Keeps the starts that may still be carried out by worker id, apart from runs and workers, which
 * may be removed before: the next incarnation under the id may carry them out until it has
 * confirmed its fence. A start is open from the decision to order it until an agent's report
 * settles it. If that agent process has ended, it stays open for kLatestExecution after the last
 * call that it can have sent.
 */
class open_starts {
 public:
  /** Handles a connection of an agent; a new process of it does not know the former one's calls. */
  void OnAgentConnected(std::string_view agent, int64_t process, millis now);

  /** Keeps what the agent has stated: its next process may not know its calls. */
  void OnAgentDisconnected(std::string_view agent);

  /** Applies an agent's complete statement about its unanswered starts under a worker's id. */
  void Report(std::string_view agent, const worker_profile& worker,
              std::span<const unanswered_start> starts, millis now);

  /**
   * Settles the starts that a report of an agent that follows this planner shows to be answered.
   * An ordered start has to be in its lists: the agent may not have sent it yet.
   */
  void Settle(std::string_view agent, const worker_report& report, millis now);

  /** Applies the complete statement of an agent that follows this planner, on all its workers. */
  void OnStatement(std::string_view agent, const open_starts_notice& statement, millis now);

  /** Adds what another entry knows, which outlasts the agent's next statement. */
  void Learn(const open_starts_notice& notice, millis now);

  /** The same for what an agent states that follows another planner. */
  void LearnFromAgent(std::string_view agent, open_starts_notice statement, millis now);

  /** What another entry has to know. */
  open_starts_notice Notice(millis now) const;

  /** Adds a start that this planner is about to order. */
  void Order(const worker_profile& worker, std::string_view agent, const run_ref& run, millis now);

  /**
   * Whether an ordered start that has not been sent is known to another process or the store. What
   * they were told some time ago is told anew, as they count its time from then.
   */
  bool Confirm(const worker_profile& worker, std::string_view agent, const run_ref& run,
               millis now);

  /**
   * Handles the removal of a run. If its start was sent and is not settled, it may be carried out
   * up to a time.
   */
  void OnClosed(const worker_profile& worker, const run_ref& run, bool sent, millis until);

  /** Handles the end of the term: agents may send ordered starts while their leases last. */
  void OnTermEnded(millis now);

  /** Whether there are starts that no notice tells of. */
  bool HasNews() const;

  /** Whether an ordered start is not known to another process or the store. */
  bool HasUnknown() const;
  bool HasUnknown(std::string_view worker) const;

  /** Takes what entries have to be told that know of all earlier notices. */
  open_starts_notice TakeNews(int64_t number, millis now);

  /** Handles the answer to a notice. */
  void OnReceived(int64_t number);

  /** The starts of a notice without an answer have to be told again. */
  void Repeat(int64_t number);

  /** Marks starts that are in the store. */
  void OnStored(std::string_view worker, std::span<const run_ref> runs);

  /** Number of starts, some of which may not be open any more. */
  size_t count() const;

  /** All starts by worker id; some may not be open any more. */
  const std::map<std::string, worker_starts, std::less<>>& all() const { return workers_; }

  /** A listing worker carries out no calls to other ids that lived on its VM or at its address. */
  void OnListed(const worker_profile& worker);

  /** The starts of a unit's tasks that may still be carried out; valid until the next change. */
  std::vector<task_at_worker> Of(const unit_ref& unit, const batch_step& step, millis now) const;

  /** Whether a task may still be started under a worker's id. */
  bool IsOpen(std::string_view worker, std::string_view task, millis now) const;

  /** Removes the starts that cannot be carried out any more. */
  void Expire(millis now);

 private:
  int64_t ProcessOf(std::string_view agent) const;
  worker_starts& Get(std::string_view id, std::string_view address, std::string_view vm);
  void State(std::string_view id, worker_starts& known, int64_t process,
             std::span<const unanswered_start> starts, millis now);
  void SettleAt(std::string_view id, worker_starts& known, int64_t process,
                std::span<const unanswered_start> starts, const worker_report* lists, millis now);
  void NoteSettled(std::string_view worker, const open_start& start);

  std::map<std::string, worker_starts, std::less<>> workers_;  // by id
  std::map<std::string, int64_t, std::less<>> processes_;      // by agent
  /** Not told yet, by worker and process of the agent. */
  std::map<std::pair<std::string, int64_t>, std::vector<run_ref>> settled_;
};

}  // namespace eelgrass
