/** \file
 * A whole deployment's request side on a virtual clock.
 */
#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kernel/requests/request_router.h"
#include "kernel/requests/upstream_core.h"
#include "standins/outcome_check.h"
#include "tests/world/fake_network.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** Policies, sizes and seed. */
struct request_world_options {
  uint64_t seed = 1;
  std::string routing = "least_loaded";
  std::string admission = "predicted_wait";
  int entries = 3;
  int upstreams = 10;
  int slots = 8;
};

/** One caller's request and what became of it. */
struct world_call {
  told_outcome told;
  std::string organisation;
  std::string reason;
  millis sent;
  millis answered;
  bool done = false;

  millis latency() const { return answered - sent; }
};

/** Entries, upstream agents and upstreams, joined by fakes. */
class request_world {
 public:
  explicit request_world(request_world_options options);
  ~request_world();

  void StartEntry(const std::string& id);
  void StartAgent(const std::string& id);
  void KillEntry(const std::string& id);
  void KillAgent(const std::string& id, bool silently);
  void Pause(const std::string& id) { network_.Pause(id); }
  void Resume(const std::string& id) { network_.Resume(id); }
  void Drain(const std::string& id);
  bool Drained(const std::string& id) const;

  /** What the upstream behind an agent does. */
  void SetUpstream(const std::string& agent, bool unreachable, bool loses_answers, millis extra);

  /** Sends a request to an entry; returns its index in calls(). */
  size_t Call(const std::string& entry, caller_request request);

  /** A request with usual values. */
  caller_request MakeRequest(bool idempotent, const std::string& key = {});

  /** Arrivals of a Poisson process at `rate` a second for `time`, over the entries by weight. */
  void Load(double rate, millis time, const std::vector<int>& weights, int idempotent_percent,
            int keyed_percent);

  void Run(millis time) { events_.RunUntil(events_.now() + time); }

  fake_network& network() { return network_; }
  timeline& events() { return events_; }
  const std::vector<world_call>& calls() const { return calls_; }
  request_router& router(const std::string& entry) { return *entries_.at(entry)->router; }
  upstream_core& agent(const std::string& id) { return *agents_.at(id)->core; }

  /** Deadline of the requests that are made from now on; 0: the service's. */
  void SetDeadline(millis deadline) { deadline_ = deadline; }

  /** Time that each request takes at the upstream, before any extra. */
  void SetServiceTime(millis least, millis most);

  /** What callers were told against what has run. */
  request_findings Findings() const;
  int CountOutcome(std::string_view outcome) const;

  /** Executions of a request. */
  int Executions(const std::string& request) const;
  int64_t busy_slot_ms() const { return busy_slot_ms_; }

 private:
  struct entry_state {
    std::unique_ptr<request_router> router;
    std::vector<router_event> inbox;
    uint64_t generation = 0;
  };

  struct agent_state {
    std::unique_ptr<upstream_core> core;
    std::vector<upstream_event> inbox;
    uint64_t generation = 0;
    bool unreachable = false;
    bool loses_answers = false;
    millis extra{0};
  };

  void TickEntry(const std::string& id, uint64_t generation);
  void RunEntry(const std::string& id);
  void TickAgent(const std::string& id, uint64_t generation);
  void RunAgent(const std::string& id);
  void Wake(const std::string& id);
  void CallUpstream(const std::string& agent, const call_upstream& call);
  void Beat(const std::string& id, uint64_t generation);

  const request_world_options options_;
  timeline events_;
  std::mt19937_64 random_;
  fake_network network_;
  std::shared_ptr<document> document_;
  std::map<std::string, std::unique_ptr<entry_state>> entries_;
  std::map<std::string, std::unique_ptr<agent_state>> agents_;
  std::vector<world_call> calls_;
  std::vector<execution> executions_;
  std::map<std::string, int> running_;
  std::map<std::string, int> most_at_once_;
  millis deadline_{0};
  millis least_service_{20};
  millis most_service_{20};
  int64_t busy_slot_ms_ = 0;
  int64_t last_incarnation_ = 0;
};

}  // namespace eelgrass
