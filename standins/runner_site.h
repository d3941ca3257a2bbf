/** \file
 * One runner of the stand-in fleet over HTTP.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/io/http_client.h"
#include "kernel/io/http_front.h"
#include "standins/standin_runner.h"

namespace eelgrass {

/** Where one runner listens and which agent it registers at. */
struct fleet_runner_place {
  std::string listen;  // IP:PORT
  std::string agent;   // IP:PORT
  std::string zone;
  std::string advertised;  // IP:PORT that the runner names; empty: where it listens
  int time_percent = 100;  // what work takes there of the time that it takes at a usual runner
};

/** Answers with JSON text. */
void AnswerJson(http_front& server, uint64_t id, int status, std::string body);

/**
 * A VM with its server and the runner that lives there: reads the platform's calls, writes the
 * answers, and beats at its agent. While the VM is down nobody answers. Calls must not overlap.
 */
class runner_site {
 public:
  runner_site(fleet_runner_place place, std::string service, const clock& time,
              standin_gangs& gangs, runner_observer observe);

  /** Starts a first life and serves it; `handler` hands each request to Handle. */
  result<void> Start(http_handler& handler);
  void Stop();

  /** The VM goes down, or comes up with a new life; nothing if it already has. */
  void Crash();
  void Revive();

  void Handle(http_request request);

  /** Lets the runner's time pass, and has it beat at its agent when that is due. */
  void Advance(http_client& client);

  /** Answers holds that have waited for an end, or for long enough. */
  void AnswerHolds();

  bool up() const { return up_; }
  const std::string& id() const { return runner_->self().id; }

 private:
  /** A hold that waits for an end. */
  struct waiting_hold {
    http_request request;
    millis until{0};
    std::string life;
  };

  void Beat(http_client& client);
  bool TryHold(const waiting_hold& wait, bool last);

  const fleet_runner_place place_;
  const std::string service_;
  const clock& clock_;
  standin_gangs& gangs_;
  const runner_observer observe_;
  std::unique_ptr<http_front> front_;
  std::unique_ptr<standin_runner> runner_;  // the latest life
  bool up_ = false;                         // the VM
  int64_t sequence_ = 0;
  millis next_beat_{0};
  std::vector<waiting_hold> holds_;
};

}  // namespace eelgrass
