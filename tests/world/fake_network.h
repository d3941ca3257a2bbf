/** \file
 * Connections between processes on a virtual clock.
 */
#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "kernel/io/peer_hub.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/**
 * Delivers messages after a random delay. Connections can be cut silently, and a paused process
 * finds its messages when it goes on. Everybody sees a lost peer after the time that the real
 * transport takes to notice.
 */
class fake_network {
 public:
  using receiver = std::function<void(link_event)>;

  fake_network(timeline& events, uint64_t seed) : events_(events), random_(seed) {}

  /** Adds a process; a known id with a new incarnation replaces the old one. */
  void Join(const hello& self, receiver receive);

  /** The process is gone; the others notice at once or, `silently`, after a while. */
  void Leave(const std::string& id, bool silently);

  void Pause(const std::string& id);
  void Resume(const std::string& id);
  bool paused(const std::string& id) const { return paused_.contains(id); }

  void Cut(const std::string& a, const std::string& b);
  void Heal(const std::string& a, const std::string& b);

  /** One connection goes silent for good while new ones work: what is sent meanwhile is lost. */
  void SilenceLane(const std::string& a, const std::string& b);

  void Send(const std::string& from, const std::string& to, peer_message message);

  /** Makes messages overtake each other. */
  void SetCrossing(bool crossing) { crossing_ = crossing; }

  uint64_t messages() const { return messages_; }

  /** Prints every message about a job to standard error, to find out what happened to it. */
  void TraceJob(std::string job) { traced_job_ = std::move(job); }

 private:
  struct node {
    hello self;
    receiver receive;
    std::vector<link_event> held;  // while paused
    uint64_t generation = 0;
  };

  using pair = std::pair<std::string, std::string>;

  static pair PairOf(const std::string& a, const std::string& b) {
    return a < b ? pair{a, b} : pair{b, a};
  }
  static bool Connects(const hello& a, const hello& b);
  bool Reaches(const std::string& a, const std::string& b) const;
  void Up(const std::string& a, const std::string& b);
  void Down(const std::string& a, const std::string& b);
  void Tell(const std::string& to, link_event event);
  millis Delay();
  void Trace(const std::string& from, const std::string& to, const peer_message& message) const;

  timeline& events_;
  std::mt19937_64 random_;
  std::map<std::string, node> nodes_;
  std::set<std::string> paused_;
  std::set<pair> cut_;
  std::set<pair> silent_;
  std::map<pair, std::pair<int64_t, int64_t>> linked_;  // to the incarnations that see each other
  std::map<pair, millis> last_delivery_;                // from, to
  bool crossing_ = false;
  uint64_t messages_ = 0;
  std::string traced_job_;
};

}  // namespace eelgrass
