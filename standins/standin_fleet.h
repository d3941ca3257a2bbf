/** \file
 * The users' platform over HTTP: the row store and some runners, for the real programs.
 */
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/io/http_client.h"
#include "kernel/io/http_front.h"
#include "standins/batch_check.h"
#include "standins/runner_site.h"
#include "standins/standin_rows.h"

namespace eelgrass {

/**
 * Serves the store at one address and each runner at its own. Runners beat at their agents. What is
 * started and ended is checked for tasks that run twice. Tests steer it at the store's address:
 *
 * - GET /standin/store?fault=NAME: none, refuse, silent, lose (answers), late (done after 1 to 4 s,
 *   not answered), forget (the history, once).
 * - GET /standin/crash?runner=N and /standin/revive?runner=N: the VM goes down, and a new life
 * comes.
 * - POST /standin/submitted and /standin/answer: what a caller hands in and is told, for the check.
 * - GET /standin/broken[?finish=1]: broken promises so far, or with what only the end shows.
 */
class standin_fleet {
 public:
  standin_fleet(std::string store, std::vector<fleet_runner_place> runners,
                std::string_view service, const clock& time);
  ~standin_fleet();

  result<void> Start();
  void Stop();

  /** Promises that were broken, as lines. */
  std::vector<std::string> broken();
  int starts();

 private:
  class store_handler;
  class runner_handler;
  /** A request that waits for a change. */
  struct waiting {
    http_front* server = nullptr;
    http_request request;
    millis until{0};
  };

  void OnStore(http_front& server, http_request request);
  bool OnTest(http_front& server, const http_request& request);
  void OnTransaction(http_front& server, const http_request& request);
  void TakeCallerAnswer(std::string_view text);
  std::string VmList() const;
  bool TryFeed(const waiting& wait, bool last);
  void Tick();

  const std::string store_;
  const clock& clock_;
  std::mutex mutex_;
  std::string fault_ = "none";
  standin_rows rows_;
  standin_gangs gangs_;
  batch_check check_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<http_front> store_front_;
  std::unique_ptr<store_handler> store_handler_;
  std::vector<std::unique_ptr<runner_site>> sites_;
  std::vector<std::unique_ptr<runner_handler>> runner_handlers_;
  std::vector<waiting> waiting_;
  std::vector<std::pair<millis, row_transaction>> late_;  // to be done at that time
  bool callers_report_ = false;  // otherwise what is stored counts as accepted
  std::mt19937 random_;
  std::atomic<bool> stopping_{false};
  std::thread ticker_;
};

}  // namespace eelgrass
