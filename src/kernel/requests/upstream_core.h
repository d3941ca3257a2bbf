/** \file
 * Decision logic of an upstream agent, which has the final authority over the upstream's slots.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/duty_events.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/** Action that sends an attempt to the upstream. */
struct call_upstream {
  attempt request;
  millis time_left;
};

/** Event that reports the result of a call to the upstream. */
struct upstream_done {
  std::string id;         // of the attempt
  attempt_answer answer;  // kFinished, kNotRun or kUnknown
};

using upstream_event = std::variant<peer_up, peer_down, peer_said, upstream_done, drain_wanted>;
using upstream_action = std::variant<send_to_peer, call_upstream>;

/** Identity of an upstream agent and the slots that it offers. */
struct upstream_options {
  std::string agent;
  int64_t incarnation = 0;
  std::string service;
  int slots = 0;
};

/** Counters of the agent since its start. */
struct upstream_stats {
  int64_t started = 0;
  int64_t refused = 0;
  int64_t rejected_by_tombstone = 0;  // attempts that arrived after their tombstone
  int64_t joined = 0;  // attempts that share the answer of another one with their key
  int running = 0;
  int queued = 0;
  size_t records = 0;
  size_t answer_bytes = 0;
};

/**
 * Runs each attempt at most once and at most `slots` attempts at a time. Keeps the answer to an
 * attempt until the entry has acknowledged it, and to a request with a key for the key's lifetime.
 * If an entry asks about an attempt that has not arrived, a tombstone makes the agent refuse that
 * attempt when it arrives. All stored state is bounded; an attempt that would exceed a limit is
 * refused as not run.
 */
class upstream_core {
 public:
  explicit upstream_core(upstream_options options);

  void Decide(std::span<const upstream_event> events, millis now,
              std::vector<upstream_action>& actions);

  bool drained() const { return draining_ && running_ == 0 && waiting_.empty(); }
  upstream_stats stats() const;

 private:
  enum class record_state { kWaiting, kRunning, kFinished, kNotRun, kUnknown };

  struct attempt_record {
    record_state state = record_state::kWaiting;
    std::string entry;  // receives the answer
    attempt request;    // emptied when the attempt starts
    millis deadline_at;
    millis expires;  // kFarFuture while the attempt is open
    attempt_answer answer;
    std::string key;
    std::string fingerprint;                                  // of a request with a key
    std::vector<std::pair<std::string, std::string>> joined;  // entry and attempt id
  };

  struct known_entry {
    int demand = 0;
    int last_credits_sent = -1;
    bool connected = false;
    int64_t incarnation = 0;
    // Smallest observed difference between this agent's clock and the entry's.
    millis clock_offset = kFarFuture;
  };

  struct claim_record {
    std::string request;
    std::string home;
    int64_t home_incarnation = 0;
    millis expires;
  };

  void On(const peer_up& event);
  void On(const peer_down& event);
  void On(const peer_said& event);
  void On(const upstream_done& event);
  void On(const drain_wanted& event);

  void OnAttempt(const std::string& entry, const attempt& message);
  void OnResolve(const std::string& entry, const resolve& message);
  void OnDone(const attempt_done& message);
  void OnClaim(const std::string& entry, const claim& message);
  void OnHeartbeat(const std::string& entry, const entry_heartbeat& message);

  bool JoinAttemptWithSameKey(const std::string& entry, const attempt& message);
  std::string RefusalReason(const std::string& entry, const attempt& message) const;
  void RefuseAttempt(const std::string& entry, const std::string& id, std::string_view reason);
  void StartQueuedAttempts();
  void CompleteAttempt(const std::string& id, attempt_record& record, attempt_answer answer);
  void SendAnswer(const std::string& entry, const std::string& id, const attempt_answer& answer);
  void Expire();
  void GrantCredits();
  void SendAnnouncement(const std::string& entry);
  void Send(std::string_view peer, peer_message message);

  const upstream_options options_;
  std::map<std::string, known_entry, std::less<>> entries_;
  std::unordered_map<std::string, attempt_record> records_;
  std::unordered_map<std::string, std::string> by_key_;  // attempt id by key
  std::unordered_map<std::string, claim_record> claims_;
  std::deque<std::string> waiting_;
  std::vector<upstream_action>* actions_ = nullptr;
  millis now_;
  millis next_expiry_;
  int running_ = 0;
  double mean_service_ms_ = 0;
  size_t answer_bytes_ = 0;
  bool draining_ = false;
  upstream_stats stats_;
};

}  // namespace eelgrass
