/** \file
 * Connections between the processes of a batch world.
 */
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/io/peer_hub.h"
#include "kernel/model/link_events.h"
#include "tests/world/draws.h"
#include "tests/world/timeline.h"
#include "tests/world/world_process.h"

namespace eelgrass {

/** Failure domains of a batch world; processes are spread over them by their index. */
inline constexpr int kBatchDomains = 3;

/** What others see of what is cut off. */
enum class cut_kind { kSilent, kRefused };

/** Keeps up the connections that are wanted, brings messages, and cuts processes and domains off.
 */
class batch_links {
 public:
  /** A connection that says nothing is given up after this time. */
  static constexpr millis kSilence{700};

  /** Hands an event to a process that lives and is not suspended. */
  using deliver = std::function<void(world_process& to, link_event& event)>;

  batch_links(timeline& events, deliver hand_over);

  /** Makes a process known; it has to stay where it is. */
  void Add(world_process& one) { processes_.push_back(&one); }

  /** Dials from now on what is wanted and not there. */
  void Begin();

  static int DomainOf(const world_process& one) { return one.domain; }
  bool ReachesStore(const world_process& one) const;

  /** Whether the connections of a process that does not reach the store are refused. */
  bool RefusedByStore(const world_process& one) const;

  void SetCut(const std::string& id, bool cut, cut_kind kind = cut_kind::kSilent);

  /** Cuts a failure domain off from the others and the store; inside, all is reachable. */
  void CutDomain(int domain, bool cut, cut_kind kind = cut_kind::kSilent);

  void Dial(world_process& from, std::string_view address);
  void Undial(world_process& from, std::string_view address);
  void Send(const std::string& from, const send_to_peer& message);
  bool Linked(const std::string& a, const std::string& b) const {
    return links_.contains({std::min(a, b), std::max(a, b)});
  }

  /** The process has ended: its connections break. */
  void Close(const std::string& id);

  /**
   * Each connection goes silent for good with this probability. What is sent is lost until a new
   * connection takes its place, and neither side learns of it.
   */
  void Sever(double share, draws& random);

  /** The process says nothing for longer than connections last. */
  void FallSilent(const std::string& id) { Drop(id, kSilence); }

 private:
  using loss = std::function<bool(const world_process& a, const world_process& b)>;

  world_process* Find(std::string_view id);
  bool Connected(const world_process& a, const world_process& b) const;
  bool CutOff(const world_process& one, cut_kind kind) const;
  bool DomainCutOff(const world_process& one, cut_kind kind) const;
  bool Refused(const world_process& a, const world_process& b) const;
  void Link(std::string_view from, std::string_view to);
  void Redial();
  void Drop(const std::string& id, millis delay);
  void Drop(const loss& lost, millis delay);
  void Deliver(std::string_view to, link_event event);

  timeline& events_;
  const deliver hand_over_;
  std::vector<world_process*> processes_;
  std::set<std::pair<std::string, std::string>> links_;
  std::map<std::pair<std::string, std::string>, millis> silent_until_;
  std::map<std::string, cut_kind> cut_;
  std::map<int, cut_kind> cut_domains_;
};

}  // namespace eelgrass
