#include "tests/world/batch_links.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace eelgrass {
namespace {

constexpr millis kNetwork{1};
constexpr millis kRedial{300};

/** The transport replaces a connection that has been silent for this long. */
constexpr millis kEntrySubstitute{650};
constexpr millis kWorkerSubstitute{2000};

/** How long the ends of a connection that is cut off take to learn of it. */
millis NoticedAfter(cut_kind kind) {
  return kind == cut_kind::kRefused ? kNetwork : batch_links::kSilence;
}

}  // namespace

batch_links::batch_links(timeline& events, deliver hand_over)
    : events_(events), hand_over_(std::move(hand_over)) {}

void batch_links::Begin() {
  events_.After(kRedial, [this] { Redial(); });
}

world_process* batch_links::Find(std::string_view id) {
  const auto found = std::find_if(processes_.begin(), processes_.end(),
                                  [id](const world_process* one) { return one->id == id; });
  return found == processes_.end() ? nullptr : *found;
}

void batch_links::Close(const std::string& id) { Drop(id, kNetwork); }

bool batch_links::Connected(const world_process& a, const world_process& b) const {
  if (cut_.contains(a.id) || cut_.contains(b.id)) return false;
  const int domain = DomainOf(a);
  if (domain == DomainOf(b)) return true;
  return !cut_domains_.contains(domain) && !cut_domains_.contains(DomainOf(b));
}

bool batch_links::ReachesStore(const world_process& one) const {
  return !cut_.contains(one.id) && !cut_domains_.contains(DomainOf(one));
}

bool batch_links::CutOff(const world_process& one, cut_kind kind) const {
  const auto found = cut_.find(one.id);
  return found != cut_.end() && found->second == kind;
}

bool batch_links::DomainCutOff(const world_process& one, cut_kind kind) const {
  const auto found = cut_domains_.find(DomainOf(one));
  return found != cut_domains_.end() && found->second == kind;
}

bool batch_links::RefusedByStore(const world_process& one) const {
  return !ReachesStore(one) && !CutOff(one, cut_kind::kSilent) &&
         !DomainCutOff(one, cut_kind::kSilent);
}

/** Whether connections between two processes are refused; a cut that is silent hides all others. */
bool batch_links::Refused(const world_process& a, const world_process& b) const {
  if (Connected(a, b)) return false;
  if (CutOff(a, cut_kind::kSilent) || CutOff(b, cut_kind::kSilent)) return false;
  const bool apart = DomainOf(a) != DomainOf(b);
  return !apart || !(DomainCutOff(a, cut_kind::kSilent) || DomainCutOff(b, cut_kind::kSilent));
}

void batch_links::CutDomain(int domain, bool cut, cut_kind kind) {
  if (!cut) {
    cut_domains_.erase(domain);
    return;
  }
  cut_domains_[domain] = kind;
  Drop([this](const world_process& a, const world_process& b) { return !Connected(a, b); },
       NoticedAfter(kind));
}

void batch_links::SetCut(const std::string& id, bool cut, cut_kind kind) {
  if (!cut) {
    cut_.erase(id);
    return;
  }
  cut_[id] = kind;
  Drop(id, NoticedAfter(kind));
}

void batch_links::Drop(const std::string& id, millis delay) {
  Drop([&](const world_process& a, const world_process& b) { return a.id == id || b.id == id; },
       delay);
}

void batch_links::Sever(double share, draws& random) {
  for (const auto& link : links_) {
    if (!random.Chance(share)) continue;
    const bool worker = Find(link.first)->role == peer_role::kWorkerAgent ||
                        Find(link.second)->role == peer_role::kWorkerAgent;
    silent_until_[link] = events_.now() + (worker ? kWorkerSubstitute : kEntrySubstitute);
  }
}

/** Both sides of the connections that are gone learn of it. */
void batch_links::Drop(const loss& lost, millis delay) {
  std::vector<std::pair<std::string, std::string>> gone;
  for (const auto& link : links_) {
    if (lost(*Find(link.first), *Find(link.second))) gone.push_back(link);
  }
  for (const auto& link : gone) links_.erase(link);
  for (const auto& [a, b] : gone) {
    events_.After(delay, [this, a = a, b = b] {
      if (links_.contains({a, b})) return;
      Deliver(a, peer_down{b, 0});
      Deliver(b, peer_down{a, 0});
    });
  }
}

void batch_links::Dial(world_process& from, std::string_view address) {
  from.dialled.insert(std::string(address));
  Link(from.id, address.substr(0, address.find(':')));
}

void batch_links::Undial(world_process& from, std::string_view address) {
  from.dialled.erase(std::string(address));
  const std::string_view to = address.substr(0, address.find(':'));
  Drop(
      [&](const world_process& a, const world_process& b) {
        return (a.id == from.id && b.id == to) || (a.id == to && b.id == from.id);
      },
      kNetwork);
}

void batch_links::Link(std::string_view from, std::string_view to) {
  world_process* a = Find(from);
  world_process* b = Find(to);
  if (a == nullptr || b == nullptr || a == b || !a->alive) return;
  const bool refused = Refused(*a, *b) || (!b->alive && Connected(*a, *b));
  if (refused) return Deliver(a->id, peer_refused{PeerAddress(b->id)});
  if (!b->alive) return;
  const bool suspended = events_.now() < a->frozen_until || events_.now() < b->frozen_until;
  if (suspended || !Connected(*a, *b)) return;
  if (!links_.insert({std::min(a->id, b->id), std::max(a->id, b->id)}).second) return;
  const auto greet = [&](const world_process& who) {
    hello greeting;
    greeting.id = who.id;
    greeting.incarnation = who.life;
    greeting.address = PeerAddress(who.id);
    greeting.domain = "domain-" + std::to_string(DomainOf(who));
    greeting.role = who.role;
    greeting.processor = who.processor;
    return peer_up{greeting};
  };
  Deliver(a->id, greet(*b));
  Deliver(b->id, greet(*a));
}

/** Connections that are wanted and can be had come up; those of suspended processes go silent. */
void batch_links::Redial() {
  for (world_process* one : processes_) {
    for (const auto& address : one->dialled) Link(one->id, address.substr(0, address.find(':')));
  }
  events_.After(kRedial, [this] { Redial(); });
}

void batch_links::Deliver(std::string_view to, link_event event) {
  world_process* target = Find(to);
  if (target == nullptr || !target->alive) return;
  const millis at = std::max(events_.now() + kNetwork, target->frozen_until);
  events_.At(at, [this, target, life = target->life, event = std::move(event)]() mutable {
    if (target->alive && target->life == life) hand_over_(*target, event);
  });
}

void batch_links::Send(const std::string& from, const send_to_peer& message) {
  const std::pair<std::string, std::string> link{std::min(from, message.peer),
                                                 std::max(from, message.peer)};
  if (!links_.contains(link)) return;
  const auto silent = silent_until_.find(link);
  if (silent != silent_until_.end() && events_.now() < silent->second) return;
  if (!Connected(*Find(from), *Find(message.peer))) return;
  Deliver(message.peer, peer_said{from, message.message});
}

}  // namespace eelgrass
