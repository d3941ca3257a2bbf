#include "kernel/jobs/start_flows.h"

#include <algorithm>
#include <utility>

namespace eelgrass {
namespace {

constexpr millis kReserveHold{3000};
constexpr millis kReserveTimeout{1000};

}  // namespace

start_flows::start_flows(const job_rows& rows, cluster& machines, gang_watch& watch,
                         std::vector<send_to_peer>& outbox)
    : rows_(rows), machines_(machines), watch_(watch), outbox_(outbox) {}

void start_flows::Begin(start_decision decision) {
  const std::string job = decision.job;
  start_flow flow;
  flow.decision = std::move(decision);
  flows_[job] = std::move(flow);
}

start_flows::due_starts start_flows::Advance(millis now) {
  due_starts due;
  for (const auto& [job, flow] : flows_) {
    if (flow.at == phase::kReserving && now >= flow.deadline) due.late.push_back(job);
    if (flow.at == phase::kEvicting && BorrowersGone(flow, now)) due.to_claim.push_back(job);
  }
  return due;
}

bool start_flows::BorrowersGone(const start_flow& flow, millis now) {
  bool gone = true;
  for (const auto& victim : flow.decision.evictions) {
    const auto row = rows_.find(victim.job);
    const bool stays = row != rows_.end() && row->second.epoch == victim.epoch &&
                       IsActive(row->second.state) && !Contains(victim.job);
    if (!stays) continue;
    gone = false;
    watch_.Stop(row->second, victim.checkpoint, "reclaimed", now);
  }
  return gone;
}

job_row start_flows::Claim(const std::string& job, millis wall_now) {
  start_flow& flow = flows_.at(job);
  flow.at = phase::kClaiming;
  job_row row = rows_.at(job);
  const worker_state* anchor = machines_.Find(flow.decision.members.front().agent);
  row.state = job_state::kStarting;
  ++row.epoch;
  row.members = flow.decision.members;
  row.borrowing = flow.decision.borrowing;
  row.anchor_incarnation = anchor != nullptr ? anchor->incarnation : 0;
  row.started_ms = wall_now.count();
  row.reason.clear();
  return row;
}

void start_flows::OnStored(const job_row& stored, const document& doc, millis now) {
  const auto found = flows_.find(stored.id);
  if (found == flows_.end() || stored.state != job_state::kStarting) return;
  start_flow& flow = found->second;
  if (flow.at != phase::kClaiming) return;
  flow.at = phase::kReserving;
  flow.deadline = now + kReserveTimeout;
  const job_row& row = rows_.at(stored.id);
  for (const auto& member : row.members) {
    flow.awaiting.insert(member.agent);
    outbox_.push_back(
        {member.agent,
         reserve{
             {row.id, row.epoch}, member.tasks, member.amount, kReserveHold.count(), doc.version}});
  }
}

start_flows::reservation start_flows::OnAnswer(std::string_view agent,
                                               const reserve_answer& answer) {
  const auto found = flows_.find(answer.gang.job);
  if (found == flows_.end() || found->second.at != phase::kReserving) return reservation::kOpen;
  if (rows_.at(answer.gang.job).epoch != answer.gang.epoch) return reservation::kOpen;
  if (!answer.granted) return reservation::kRefused;
  auto& awaiting = found->second.awaiting;
  const auto waiting = awaiting.find(agent);
  if (waiting != awaiting.end()) awaiting.erase(waiting);
  return awaiting.empty() ? reservation::kComplete : reservation::kOpen;
}

void start_flows::Commit(const std::string& job, const document& doc, millis now) {
  const job_row& row = rows_.at(job);
  const job_class* kind = doc.FindJobClass(row.spec.job_class);
  commit message;
  message.gang = {row.id, row.epoch};
  message.members = row.members;
  message.run_ms = std::max<int64_t>(1, row.spec.run_ms.count() - row.saved_ms);
  message.limit_ms = kind != nullptr ? kind->longest_ms.count() : 0;
  message.fails = row.spec.fails;
  ++started_;
  watch_.Begin(job, now);
  outbox_.push_back({row.members.front().agent, std::move(message)});
  flows_.erase(job);
}

void start_flows::Abort(const std::string& job) {
  const job_row& row = rows_.at(job);
  ++aborted_;
  for (const auto& member : row.members) {
    outbox_.push_back({member.agent, release{{row.id, row.epoch}}});
  }
  flows_.erase(job);
}

bool start_flows::Overtaken(const job_row& row) const {
  const auto found = flows_.find(row.id);
  if (found == flows_.end()) return false;
  const bool still_waits =
      found->second.at == phase::kEvicting && row.state == job_state::kQueued && !row.cancel_wanted;
  return !still_waits;
}

void start_flows::GiveUp() {
  for (const auto& [job, flow] : flows_) {
    if (flow.at == phase::kEvicting) machines_.Free(job);
  }
  flows_.clear();
}

}  // namespace eelgrass
