#include "kernel/batch/departure_detector.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Between two lists: calls to the platform are expensive, and it reports a VM down at once. */
constexpr millis kListInterval{500};

/** A list without an answer after this is abandoned; each of its pages has a shorter timeout. */
constexpr millis kListTimeout{3000};

/** Sightings are removed after this, as most workers never become silent. */
constexpr millis kSightingRetention{600000};

bool IsNotRunning(vm_state state) {
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

std::optional<vm_listing_request> departure_detector::Next(std::span<const silent_worker> silent,
                                                           millis now) {
  std::erase_if(absences_, [&](const auto& entry) {
    return std::none_of(silent.begin(), silent.end(), [&](const silent_worker& worker) {
      return worker.self == entry.second.self;
    });
  });
  if (silent.empty() || now < next_) return std::nullopt;
  requested_for_.clear();
  for (const auto& worker : silent) requested_for_[worker.self.id] = worker;
  requested_at_ = now;
  next_ = now + kListTimeout;
  return vm_listing_request{now};
}

void departure_detector::OnWorkerReported(std::string_view worker) {
  if (const auto found = requested_for_.find(worker); found != requested_for_.end()) {
    requested_for_.erase(found);
  }
  if (const auto found = absences_.find(worker); found != absences_.end()) absences_.erase(found);
}

std::vector<worker_identity> departure_detector::On(const vm_listing& listing) {
  if (requested_at_ != listing.requested) return {};
  requested_at_.reset();
  next_ = listing.requested + kListInterval;
  const auto requested = std::move(requested_for_);
  requested_for_.clear();
  if (!listing.answered) {
    absences_.clear();
    return {};
  }
  std::vector<worker_identity> ended;
  for (const auto& [id, worker] : requested) {
    if (ProvedGone(worker, listing)) ended.push_back(worker.self);
  }
  RecordSightings(listing);
  return ended;
}

/** The VM of this incarnation; an earlier list may show that of an earlier incarnation. */
std::string departure_detector::VmOf(const silent_worker& worker) const {
  if (!worker.vm.empty()) return worker.vm;
  const auto found = sightings_.find(worker.self.id);
  const bool this_life = found != sightings_.end() && found->second.requested >= worker.known_since;
  return this_life ? found->second.vm : std::string();
}

bool departure_detector::ProvedGone(const silent_worker& worker, const vm_listing& listing) {
  const std::string vm = VmOf(worker);
  std::string_view proof;
  for (const auto& record : listing.vms) {
    const bool named = record.worker == worker.self.id;
    if (named && !IsNotRunning(record.state)) {
      absences_.erase(worker.self.id);
      LogOutcome(worker.self, record.vm, "its VM is up", listing);
      return false;
    }
    const bool its_vm = vm.empty() ? named : record.vm == vm;
    if (its_vm && IsNotRunning(record.state)) proof = "ended: its VM is not up";
    const bool other = record.state == vm_state::kUp && !record.worker.empty() && !named;
    if (its_vm && other) proof = "ended: its VM hosts another worker";
  }
  if (proof.empty()) return RecordAbsence(worker, listing);
  LogOutcome(worker.self, vm, proof, listing);
  absences_.erase(worker.self.id);
  return true;
}

/** Records that no record names the worker; returns whether its end is proved by now. */
bool departure_detector::RecordAbsence(const silent_worker& worker, const vm_listing& listing) {
  const std::string& id = worker.self.id;
  const bool unknown =
      std::any_of(listing.vms.begin(), listing.vms.end(),
                  [](const vm_record& record) { return record.state == vm_state::kUnknown; });
  if (listing.unreadable > 0 || unknown) {
    absences_.erase(id);
    LogOutcome(worker.self, VmOf(worker), "absent from a list with unreadable entries", listing);
    return false;
  }
  const auto before = absences_.find(id);
  const bool again = before != absences_.end() && before->second.self == worker.self &&
                     listing.requested - before->second.requested >= kListInterval;
  if (!again) absences_.emplace(id, absence{worker.self, listing.requested});
  LogOutcome(worker.self, VmOf(worker),
             again ? "ended: absent from two lists" : "absent from one list", listing);
  if (again) absences_.erase(id);
  return again;
}

void departure_detector::RecordSightings(const vm_listing& listing) {
  for (const auto& record : listing.vms) {
    if (record.worker.empty() || record.vm.empty() || record.state != vm_state::kUp) continue;
    sightings_[record.worker] = {record.vm, listing.requested};
  }
  std::erase_if(sightings_, [&](const auto& entry) {
    return listing.requested - entry.second.requested > kSightingRetention;
  });
}

}  // namespace eelgrass
