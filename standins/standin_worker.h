/** \file
 * A worker of the platform that only pretends to run tasks.
 */
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "standins/delayed_calls.h"
#include "standins/rpc_server.h"
#include "standins/task_log.h"

namespace eelgrass {

/** Runs gangs' parts for their `run_ms` under a lease, behind a gate. */
class standin_worker : public rpc_target, public std::enable_shared_from_this<standin_worker> {
 public:
  standin_worker(std::string name, const clock& time, delayed_calls& later, task_log& log);

  std::string Call(const std::string& method, const std::string& parameters) override;

  /** Makes every task that starts from now on fail. */
  void SetFailAll(bool fails);

 private:
  struct event {
    int64_t number = 0;
    std::string what;
    std::string job;
    int64_t epoch = 0;
    bool good = false;
  };

  struct part {
    size_t log_index = 0;
    int64_t run_ms = 0;
    bool fails = false;
    bool open = false;
  };

  using gang_key = std::pair<std::string, int64_t>;

  void Start(const gang_key& gang, part item, int tasks);
  void Open(const gang_key& gang);
  void Stop(const gang_key& gang, int64_t checkpoint_ms);
  void Renew(int64_t lease_ms);
  std::string Events(int64_t after);
  void End(const gang_key& gang, const std::string& what, bool good);
  void CheckLease();
  void Later(millis delay, void (standin_worker::*call)(const gang_key&), const gang_key& gang);
  void FinishRun(const gang_key& gang);
  void FinishCheckpoint(const gang_key& gang);

  const std::string name_;
  const clock& clock_;
  delayed_calls& later_;
  task_log& log_;
  std::mutex mutex_;
  std::map<gang_key, part> parts_;
  std::vector<event> events_;
  int64_t last_event_ = 0;
  millis lease_until_{0};
  bool fail_all_ = false;
};

}  // namespace eelgrass
