#include "kernel/advice/step_tickets.h"

namespace eelgrass {
namespace {

/** Time before a worker that may not run a step is asked about again. */
constexpr millis kRefusalLifetime{60000};

}  // namespace

const step_tickets::ticket* step_tickets::Find(const unit_ref& unit,
                                               const worker_identity& worker) const {
  const auto step = steps_.find(StepKey(unit));
  if (step == steps_.end()) return nullptr;
  const auto found = step->second.find(worker.id);
  const bool same = found != step->second.end() && found->second.born_ms == worker.born_ms;
  return same ? &found->second : nullptr;
}

const std::string* step_tickets::Valid(const unit_ref& unit, const worker_identity& worker,
                                       millis now) const {
  const ticket* known = Find(unit, worker);
  const bool valid = known != nullptr && !known->text.empty() && now < known->good_until;
  return valid ? &known->text : nullptr;
}

bool step_tickets::Refused(const unit_ref& unit, const worker_identity& worker, millis now) const {
  const ticket* known = Find(unit, worker);
  return known != nullptr && known->text.empty() && now < known->good_until;
}

bool step_tickets::Allowed(const unit_ref& unit, const worker_identity& worker) const {
  const ticket* known = Find(unit, worker);
  return known != nullptr && !known->text.empty();
}

void step_tickets::Allow(const unit_ref& unit, const worker_identity& worker, std::string_view text,
                         millis until) {
  steps_[StepKey(unit)][worker.id] = {std::string(text), worker.born_ms, until};
}

void step_tickets::Refuse(const unit_ref& unit, const worker_identity& worker, millis now) {
  steps_[StepKey(unit)][worker.id] = {"", worker.born_ms, now + kRefusalLifetime};
}

void step_tickets::Discard(const unit_ref& unit, std::string_view worker) {
  const auto step = steps_.find(StepKey(unit));
  if (step == steps_.end()) return;
  const auto found = step->second.find(worker);
  if (found != step->second.end()) step->second.erase(found);
}

void step_tickets::Retain(const job_table& jobs, const worker_pool& pool) {
  std::erase_if(steps_,
                [&](const auto& step) { return !jobs.open().contains(std::get<0>(step.first)); });
  for (auto& [key, tickets] : steps_) {
    std::erase_if(tickets, [&](const auto& known) { return pool.Find(known.first) == nullptr; });
  }
}

}  // namespace eelgrass
