/** \file
 * The starts that workers may still carry out.
 */
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/job_table.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** A task that a worker may still start. */
struct task_at_worker {
  task_ref task;
  std::string_view worker;  // id
  millis since{0};          // a start of it has been open there all the time
};

/**
 * Keeps the unanswered starts by worker id, apart from runs and workers, which may be removed
 * before: the next incarnation under the id may carry them out until it has confirmed its fence.
 * An entry ends kLatestExecution after its last call was sent or, if that is not known, after the
 * last lease under which it can have been sent.
 */
class open_starts {
 public:
  /** Applies an agent's complete statement about the starts that it sent under a worker's id. */
  void Report(std::string_view agent, const worker_profile& worker,
              std::span<const unanswered_start> starts, millis now);

  /** Adds what another entry knows, which outlasts the agent's next statement. */
  void Learn(const open_starts_notice& notice, millis now);

  /** What another entry has to know. */
  open_starts_notice Notice(millis now) const;

  /** Keeps what the agent has stated; a new process of it does not know its calls. */
  void OnAgentDisconnected(std::string_view agent);

  /** Adds a start that was ordered and of which the agent has stated nothing. */
  void Assume(const worker_profile& worker, const run_ref& run, millis until, millis now);

  /** A listing worker carries out no calls to other ids that lived on its VM or at its address. */
  void OnListed(const worker_profile& worker);

  /** The starts of a unit's tasks that may still be carried out; valid until the next change. */
  std::vector<task_at_worker> Of(const unit_ref& unit, const batch_step& step, millis now) const;

  /** Removes the starts that cannot be carried out any more. */
  void Expire(millis now);

 private:
  struct open_start {
    task_ref task;
    int64_t run = 0;
    millis until{0};
    bool stated = false;  // by the agent's present process
  };
  struct worker_starts {
    std::string agent;  // that has stated; empty: none
    std::string address;
    std::string vm;
    std::vector<open_start> starts;
    std::map<std::string, millis> since;  // by task
  };

  worker_starts& Get(std::string_view id, std::string_view address, std::string_view vm);

  std::map<std::string, worker_starts, std::less<>> workers_;  // by id
};

}  // namespace eelgrass
