#include "kernel/batch/departure_watch.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Between two lists: a call to the platform is dear, and a VM is reported down at once. */
constexpr millis kListPause{500};

/** A list that is not answered by now is given up; its pages have a shorter bound each. */
constexpr millis kAnswerTime{3000};

/** Where a worker was last seen is forgotten after this; most workers live on. */
constexpr millis kRemembered{600000};

bool Over(vm_state state) {
  return state == vm_state::kDown || state == vm_state::kMoving || state == vm_state::kUpkeep;
}

void LogOutcome(const worker_identity& worker, std::string_view vm, std::string_view outcome,
                const vm_listing& listing) {
  log_event("silent-worker")
      .With("worker", worker.id)
      .With("born", worker.born_ms)
      .With("vm", vm)
      .With("outcome", outcome)
      .With("vms", static_cast<int64_t>(listing.vms.size()))
      .With("unreadable", listing.unreadable)
      .With("asked_at", listing.requested.count());
}

}  // namespace

std::optional<vm_listing_request> departure_watch::Next(std::span<const silent_worker> silent,
                                                        millis now) {
  std::erase_if(absent_, [&](const auto& entry) {
    return std::none_of(silent.begin(), silent.end(), [&](const silent_worker& worker) {
      return worker.self == entry.second.self;
    });
  });
  if (silent.empty() || now < next_) return std::nullopt;
  asked_.clear();
  for (const auto& worker : silent) asked_[worker.self.id] = worker;
  asked_at_ = now;
  next_ = now + kAnswerTime;
  return vm_listing_request{now};
}

void departure_watch::OnHeard(std::string_view worker) {
  if (const auto found = asked_.find(worker); found != asked_.end()) asked_.erase(found);
  if (const auto found = absent_.find(worker); found != absent_.end()) absent_.erase(found);
}

std::vector<worker_identity> departure_watch::On(const vm_listing& listing) {
  if (asked_at_ != listing.requested) return {};
  asked_at_.reset();
  next_ = listing.requested + kListPause;
  const auto asked = std::move(asked_);
  asked_.clear();
  if (!listing.answered) {
    absent_.clear();
    return {};
  }
  std::vector<worker_identity> gone;
  for (const auto& [id, worker] : asked) {
    if (Gone(worker, listing)) gone.push_back(worker.self);
  }
  Remember(listing);
  return gone;
}

/** The VM of this life; a list that was asked for earlier may show one before it. */
std::string departure_watch::VmOf(const silent_worker& worker) const {
  if (!worker.vm.empty()) return worker.vm;
  const auto found = seen_.find(worker.self.id);
  const bool this_life = found != seen_.end() && found->second.asked >= worker.known;
  return this_life ? found->second.vm : std::string();
}

bool departure_watch::Gone(const silent_worker& worker, const vm_listing& listing) {
  const std::string vm = VmOf(worker);
  std::string_view proof;
  for (const auto& record : listing.vms) {
    const bool named = record.worker == worker.self.id;
    if (named && !Over(record.state)) {
      absent_.erase(worker.self.id);
      LogOutcome(worker.self, record.vm, "its VM is up", listing);
      return false;
    }
    const bool its_vm = vm.empty() ? named : record.vm == vm;
    if (its_vm && Over(record.state)) proof = "gone: its VM is not up";
    const bool other = record.state == vm_state::kUp && !record.worker.empty() && !named;
    if (its_vm && other) proof = "gone: its VM carries another";
  }
  if (proof.empty()) return AbsentAgain(worker, listing);
  LogOutcome(worker.self, vm, proof, listing);
  absent_.erase(worker.self.id);
  return true;
}

/** Takes note that no record tells of a worker; whether that is proved now. */
bool departure_watch::AbsentAgain(const silent_worker& worker, const vm_listing& listing) {
  const std::string& id = worker.self.id;
  const bool unknown =
      std::any_of(listing.vms.begin(), listing.vms.end(),
                  [](const vm_record& record) { return record.state == vm_state::kUnknown; });
  if (listing.unreadable > 0 || unknown) {
    absent_.erase(id);
    LogOutcome(worker.self, VmOf(worker), "absent: entries are unreadable", listing);
    return false;
  }
  const auto before = absent_.find(id);
  const bool again = before != absent_.end() && before->second.self == worker.self &&
                     listing.requested - before->second.asked >= kListPause;
  if (!again) absent_.emplace(id, absence{worker.self, listing.requested});
  LogOutcome(worker.self, VmOf(worker), again ? "gone: absent twice" : "absent once", listing);
  if (again) absent_.erase(id);
  return again;
}

void departure_watch::Remember(const vm_listing& listing) {
  for (const auto& record : listing.vms) {
    if (record.worker.empty() || record.vm.empty() || record.state != vm_state::kUp) continue;
    seen_[record.worker] = {record.vm, listing.requested};
  }
  std::erase_if(seen_, [&](const auto& entry) {
    return listing.requested - entry.second.asked > kRemembered;
  });
}

}  // namespace eelgrass
