#include "kernel/batch/departure_watch.h"

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Between two lists: a call to the platform is dear, and a VM is reported down at once. */
constexpr millis kListPause{500};

/** A list that is not answered by now is given up; its pages have a shorter bound each. */
constexpr millis kAnswerTime{3000};

void LogOutcome(std::string_view worker, std::string_view outcome, const vm_listing& listing) {
  log_event("silent-worker")
      .With("worker", worker)
      .With("outcome", outcome)
      .With("vms", static_cast<int64_t>(listing.vms.size()))
      .With("asked_at", listing.requested.count());
}

}  // namespace

std::optional<vm_listing_request> departure_watch::Next(std::span<const std::string> silent,
                                                        millis now) {
  if (silent.empty() || now < next_) return std::nullopt;
  asked_ = {silent.begin(), silent.end()};
  asked_at_ = now;
  next_ = now + kAnswerTime;
  return vm_listing_request{now};
}

std::vector<std::string> departure_watch::On(const vm_listing& listing) {
  if (asked_at_ != listing.requested) return {};
  asked_at_.reset();
  next_ = listing.requested + kListPause;
  if (!listing.answered || listing.unreadable > 0) return {};
  std::set<std::string> gone = std::move(asked_);
  asked_.clear();
  for (const auto& record : listing.vms) {
    const bool over = record.state == vm_state::kDown || record.state == vm_state::kMoving ||
                      record.state == vm_state::kUpkeep;
    if (over || gone.erase(record.worker) == 0) continue;
    LogOutcome(record.worker, "its VM is up", listing);
  }
  for (const auto& worker : gone) LogOutcome(worker, "gone", listing);
  return {gone.begin(), gone.end()};
}

}  // namespace eelgrass
