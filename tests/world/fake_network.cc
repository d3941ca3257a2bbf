#include "tests/world/fake_network.h"

#include <algorithm>
#include <iostream>

namespace eelgrass {
namespace {
constexpr millis kNoticeSilence{2500};
constexpr millis kLaneSilence{1200};  // a tick later than the transport's own bound
constexpr millis kNoticeEnd{50};
constexpr millis kConnect{20};
constexpr int kDelaySpreadMs = 3;
constexpr int kCrossingSpreadMs = 60;
}  // namespace

bool fake_network::Connects(const hello& a, const hello& b) {
  const bool entry_a = a.role == peer_role::kEntry;
  const bool entry_b = b.role == peer_role::kEntry;
  return entry_a != entry_b;
}

millis fake_network::Delay() {
  const int spread = crossing_ ? kCrossingSpreadMs : kDelaySpreadMs;
  return millis(1 + static_cast<int64_t>(random_() % static_cast<uint64_t>(spread)));
}

bool fake_network::Reaches(const std::string& a, const std::string& b) const {
  const pair key = PairOf(a, b);
  return nodes_.contains(a) && nodes_.contains(b) && !cut_.contains(key) && !silent_.contains(key);
}

void fake_network::Join(const hello& self, receiver receive) {
  node& own = nodes_[self.id];
  own.self = self;
  own.receive = std::move(receive);
  own.held.clear();
  ++own.generation;
  for (const auto& [id, other] : nodes_) {
    if (id == self.id || !Connects(self, other.self)) continue;
    events_.After(kConnect, [this, a = self.id, b = id] { Up(a, b); });
  }
}

void fake_network::Up(const std::string& a, const std::string& b) {
  if (!Reaches(a, b) || paused_.contains(a) || paused_.contains(b)) return;
  const pair key = PairOf(a, b);
  const std::pair<int64_t, int64_t> incarnations{nodes_[key.first].self.incarnation,
                                                 nodes_[key.second].self.incarnation};
  const auto known = linked_.find(key);
  if (known != linked_.end() && known->second == incarnations) return;
  if (known != linked_.end()) Down(a, b);
  linked_[key] = incarnations;
  Tell(a, peer_up{nodes_[b].self});
  Tell(b, peer_up{nodes_[a].self});
}

void fake_network::Down(const std::string& a, const std::string& b) {
  const auto known = linked_.find(PairOf(a, b));
  if (known == linked_.end()) return;
  const pair key = known->first;
  const auto [first, second] = known->second;
  linked_.erase(known);
  Tell(key.first, lane_lost{key.second});
  Tell(key.first, peer_down{key.second, second});
  Tell(key.second, lane_lost{key.first});
  Tell(key.second, peer_down{key.first, first});
}

void fake_network::Leave(const std::string& id, bool silently) {
  nodes_.erase(id);
  paused_.erase(id);
  const millis notice = silently ? kNoticeSilence : kNoticeEnd;
  std::vector<std::string> others;
  for (const auto& [key, incarnations] : linked_) {
    if (key.first == id) others.push_back(key.second);
    if (key.second == id) others.push_back(key.first);
  }
  for (const auto& other : others) {
    const auto seen = linked_[PairOf(id, other)];
    events_.After(notice, [this, id, other, seen] {
      const auto known = linked_.find(PairOf(id, other));
      if (known != linked_.end() && known->second == seen) Down(id, other);
    });
  }
}

void fake_network::Pause(const std::string& id) {
  const auto own = nodes_.find(id);
  if (own == nodes_.end()) return;
  paused_.insert(id);
  const uint64_t generation = own->second.generation;
  events_.After(kNoticeSilence, [this, id, generation] {
    const auto still = nodes_.find(id);
    const bool same = still != nodes_.end() && still->second.generation == generation;
    if (!paused_.contains(id) || !same) return;
    for (const auto& [other, item] : nodes_) {
      if (other != id) Down(id, other);
    }
  });
}

void fake_network::Resume(const std::string& id) {
  if (paused_.erase(id) == 0) return;
  // What was on its way is read first; then the lost connections are noticed and replaced.
  std::vector<link_event> held;
  held.swap(nodes_[id].held);
  for (auto& event : held) Tell(id, std::move(event));
  for (const auto& [other, item] : nodes_) {
    if (other == id || !Connects(nodes_[id].self, item.self)) continue;
    events_.After(kConnect, [this, id, b = other] { Up(id, b); });
  }
}

void fake_network::Cut(const std::string& a, const std::string& b) {
  cut_.insert(PairOf(a, b));
  events_.After(kNoticeSilence, [this, a, b] {
    if (cut_.contains(PairOf(a, b))) Down(a, b);
  });
}

void fake_network::Heal(const std::string& a, const std::string& b) {
  cut_.erase(PairOf(a, b));
  if (!nodes_.contains(a) || !nodes_.contains(b)) return;
  if (!Connects(nodes_[a].self, nodes_[b].self)) return;
  events_.After(kConnect, [this, a, b] { Up(a, b); });
}

void fake_network::SilenceLane(const std::string& a, const std::string& b) {
  const pair key = PairOf(a, b);
  silent_.insert(key);
  events_.After(kLaneSilence, [this, key] {
    silent_.erase(key);
    Tell(key.first, lane_lost{key.second});
    Tell(key.second, lane_lost{key.first});
  });
}

void fake_network::Trace(const std::string& from, const std::string& to,
                         const peer_message& message) const {
  std::visit(
      [&](const auto& m) {
        if constexpr (requires { m.gang.job; }) {
          if (m.gang.job != traced_job_) return;
          std::cerr << events_.now().count() << " " << from << " -> " << to << " type "
                    << message.index() << " start " << m.gang.epoch;
          if constexpr (requires { m.reason; }) std::cerr << " " << m.reason;
          if constexpr (requires { m.state; }) std::cerr << " " << GangStateName(m.state);
          std::cerr << "\n";
        }
      },
      message);
}

void fake_network::Send(const std::string& from, const std::string& to, peer_message message) {
  if (!traced_job_.empty()) Trace(from, to, message);
  if (!Reaches(from, to)) return;
  const bool direct = !Connects(nodes_.at(from).self, nodes_.at(to).self);
  if (!direct && !linked_.contains(PairOf(from, to))) return;
  ++messages_;
  millis when = events_.now() + Delay();
  millis& last = last_delivery_[{from, to}];
  if (!crossing_) when = std::max(when, last);
  last = when;
  const uint64_t generation = nodes_.at(to).generation;
  events_.At(when, [this, from, to, generation, message = std::move(message)] {
    if (!Reaches(from, to) || nodes_.at(to).generation != generation) return;
    Tell(to, peer_said{from, message});
  });
}

void fake_network::Tell(const std::string& to, link_event event) {
  const auto found = nodes_.find(to);
  if (found == nodes_.end()) return;
  if (paused_.contains(to)) {
    found->second.held.push_back(std::move(event));
    return;
  }
  found->second.receive(std::move(event));
}

}  // namespace eelgrass
