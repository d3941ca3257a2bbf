#include "kernel/jobs/start_coordinator.h"

#include <algorithm>
#include <utility>

namespace eelgrass {
namespace {

constexpr millis kReserveHold{3000};
constexpr millis kReserveTimeout{1000};

}  // namespace

start_coordinator::start_coordinator(const job_rows& rows, cluster& machines, gang_monitor& monitor,
                                     std::vector<send_to_peer>& outbox)
    : rows_(rows), machines_(machines), gang_monitor_(monitor), outbox_(outbox) {}

void start_coordinator::Begin(start_decision decision) {
  const std::string job = decision.job;
  pending_start start;
  start.decision = std::move(decision);
  pending_[job] = std::move(start);
}

start_coordinator::due_starts start_coordinator::Advance(millis now) {
  due_starts due;
  for (const auto& [job, start] : pending_) {
    if (start.at == phase::kReserving && now >= start.deadline) due.late.push_back(job);
    if (start.at == phase::kEvicting && BorrowersStopped(start, now)) due.to_claim.push_back(job);
  }
  return due;
}

bool start_coordinator::BorrowersStopped(const pending_start& start, millis now) {
  bool all_stopped = true;
  for (const auto& victim : start.decision.evictions) {
    const auto row = rows_.find(victim.job);
    const bool still_running = row != rows_.end() && row->second.epoch == victim.epoch &&
                               IsActive(row->second.state) && !Contains(victim.job);
    if (!still_running) continue;
    all_stopped = false;
    gang_monitor_.Stop(row->second, victim.checkpoint, "reclaimed", now);
  }
  return all_stopped;
}

job_row start_coordinator::Claim(const std::string& job, millis wall_now) {
  pending_start& start = pending_.at(job);
  start.at = phase::kClaiming;
  job_row row = rows_.at(job);
  const worker_state* anchor = machines_.Find(start.decision.members.front().agent);
  row.state = job_state::kStarting;
  ++row.epoch;
  row.members = start.decision.members;
  row.borrowing = start.decision.borrowing;
  row.anchor_incarnation = anchor != nullptr ? anchor->incarnation : 0;
  row.started_ms = wall_now.count();
  row.reason.clear();
  return row;
}

void start_coordinator::OnStored(const job_row& stored, const document& doc, millis now) {
  const auto found = pending_.find(stored.id);
  if (found == pending_.end() || stored.state != job_state::kStarting) return;
  pending_start& start = found->second;
  if (start.at != phase::kClaiming) return;
  start.at = phase::kReserving;
  start.deadline = now + kReserveTimeout;
  const job_row& row = rows_.at(stored.id);
  for (const auto& member : row.members) {
    start.awaiting.insert(member.agent);
    outbox_.push_back(
        {member.agent,
         reserve{
             {row.id, row.epoch}, member.tasks, member.amount, kReserveHold.count(), doc.version}});
  }
}

start_coordinator::reservation start_coordinator::OnAnswer(std::string_view agent,
                                                           const reserve_answer& answer) {
  const auto found = pending_.find(answer.gang.job);
  if (found == pending_.end() || found->second.at != phase::kReserving) return reservation::kOpen;
  if (rows_.at(answer.gang.job).epoch != answer.gang.epoch) return reservation::kOpen;
  if (!answer.granted) return reservation::kRefused;
  auto& awaiting = found->second.awaiting;
  const auto waiting = awaiting.find(agent);
  if (waiting != awaiting.end()) awaiting.erase(waiting);
  return awaiting.empty() ? reservation::kComplete : reservation::kOpen;
}

void start_coordinator::Commit(const std::string& job, const document& doc, millis now) {
  const job_row& row = rows_.at(job);
  const job_class* kind = doc.FindJobClass(row.spec.job_class);
  commit message;
  message.gang = {row.id, row.epoch};
  message.members = row.members;
  message.run_ms = std::max<int64_t>(1, row.spec.run_ms.count() - row.saved_ms);
  message.limit_ms = kind != nullptr ? kind->longest_ms.count() : 0;
  message.fails = row.spec.fails;
  ++started_;
  gang_monitor_.Begin(job, now);
  outbox_.push_back({row.members.front().agent, std::move(message)});
  pending_.erase(job);
}

void start_coordinator::Abort(const std::string& job) {
  const job_row& row = rows_.at(job);
  ++aborted_;
  for (const auto& member : row.members) {
    outbox_.push_back({member.agent, release{{row.id, row.epoch}}});
  }
  pending_.erase(job);
}

bool start_coordinator::Superseded(const job_row& row) const {
  const auto found = pending_.find(row.id);
  if (found == pending_.end()) return false;
  const bool still_evicting =
      found->second.at == phase::kEvicting && row.state == job_state::kQueued && !row.cancel_wanted;
  return !still_evicting;
}

void start_coordinator::Abandon() {
  for (const auto& [job, start] : pending_) {
    if (start.at == phase::kEvicting) machines_.Free(job);
  }
  pending_.clear();
}

}  // namespace eelgrass
