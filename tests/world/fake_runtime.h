/** \file
 * The platform's worker on a virtual clock.
 */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "kernel/io/worker_runtime.h"
#include "standins/task_log.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** Runs tasks under a lease; outlives its agent. */
class fake_runtime {
 public:
  using listener = std::function<void(worker_event)>;

  fake_runtime(std::string worker, timeline& events, task_log& log);

  /** Where events go; empty while there is no agent. */
  void SetListener(listener listen) { listen_ = std::move(listen); }

  void Carry(const start_tasks& order);
  void Carry(const open_gate& order);
  void Carry(const stop_tasks& order);
  void Carry(const renew_tasks& order);

  /** Every task that starts from now on fails. */
  void SetFailAll(bool fails) { fail_all_ = fails; }

  /** Longest time that a checkpoint really takes. */
  void SetCheckpoint(millis time) { checkpoint_ = time; }

  /** The machine is gone, and its tasks with it. */
  void Die();

  bool working() const;

 private:
  struct part {
    size_t log_index = 0;
    int64_t run_ms = 0;
    bool fails = false;
    bool open = false;
    uint64_t number = 0;
  };

  void End(const gang_id& gang, worker_event event, bool success);
  void CheckLease();
  void Tell(worker_event event);

  const std::string worker_;
  timeline& events_;
  task_log& log_;
  listener listen_;
  std::map<gang_id, part> parts_;
  millis lease_until_{0};
  millis checkpoint_{200};
  bool fail_all_ = false;
  uint64_t last_number_ = 0;
};

}  // namespace eelgrass
