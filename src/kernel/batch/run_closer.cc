#include "kernel/batch/run_closer.h"

#include <algorithm>
#include <vector>

#include "kernel/base/log_event.h"
#include "kernel/batch/worker_calls.h"

namespace eelgrass {

void run_closer::Close(pool_worker& worker, const run_ref& ref) {
  const auto found = worker.runs.find(ref);
  if (found == worker.runs.end()) return;
  if (unit_state* unit = jobs_.Find(found->second.unit)) {
    unit->open_runs = std::max(0, unit->open_runs - 1);
  }
  const bool sent = found->second.phase != run_phase::kHeld;
  pool_.starts().OnClosed(worker.profile, ref, sent, worker.lease_end + kLatestExecution);
  worker.runs.erase(found);
  worker.order_due = true;
  ++changes_;
}

/** Removes a run that had ended by the given time without a reported end. */
void run_closer::GiveUp(pool_worker& worker, const run_ref& run, std::string_view reason,
                        millis over) {
  log_event("run-given-up")
      .With("task", run.task)
      .With("run", run.run)
      .With("worker", worker.profile.self.id)
      .With("born", worker.profile.self.born_ms)
      .With("term", term_)
      .With("reason", reason);
  ++given_up_;
  last_given_up_ = std::max(last_given_up_, over);
  if (unit_state* unit = jobs_.Find(worker.runs.at(run).unit)) {
    unit->given_up_run = std::max(unit->given_up_run, run.run);
    unit->given_up = std::max(unit->given_up, over);
  }
  Close(worker, run);
}

void run_closer::GiveUpAll(pool_worker& worker, std::string_view reason, millis over) {
  while (!worker.runs.empty()) {
    const run_ref run = worker.runs.begin()->first;
    GiveUp(worker, run, reason, over);
  }
}

void run_closer::GiveUpFormerIncarnation(pool_worker& worker, const worker_report& report,
                                         millis now) {
  std::vector<run_ref> over;
  for (const auto& [ref, record] : worker.runs) {
    if (record.former_incarnation && !Contains(report.running, ref)) over.push_back(ref);
  }
  for (const auto& ref : over) {
    GiveUp(worker, ref, "a new incarnation of the worker does not list it", now);
  }
}

std::optional<millis> run_closer::GiveUpLapsed(millis now, millis confirmed) {
  std::optional<millis> confirm_after;
  for (auto& [id, worker] : pool_.all()) {
    if (worker.runs.empty() || now <= worker.lease_end) continue;
    if (confirmed <= worker.lease_end) {
      confirm_after = std::max(confirm_after.value_or(worker.lease_end), worker.lease_end);
      continue;
    }
    log_event("lease-expired")
        .With("worker", id)
        .With("term", term_)
        .With("over_ms", (now - worker.lease_end).count())
        .With("reported_ago_ms", (now - worker.reported).count())
        .With("listing", worker.listing ? 1 : 0)
        .With("term_confirmed_ago_ms", (now - confirmed).count());
    GiveUpAll(worker, "the lease of its worker has expired", worker.lease_end);
  }
  if (confirmed <= last_given_up_) {
    confirm_after = std::max(confirm_after.value_or(last_given_up_), last_given_up_);
  }
  return confirm_after;
}

}  // namespace eelgrass
