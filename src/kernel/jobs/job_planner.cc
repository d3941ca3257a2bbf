#include "kernel/jobs/job_planner.h"

namespace eelgrass {
namespace {

constexpr millis kPlanInterval{1000};    // when nothing has changed
constexpr millis kLedgerInterval{5000};  // when nothing has changed
constexpr millis kWorkerRetention{3600000};

}  // namespace

job_planner::job_planner(std::unique_ptr<queue_policy> ordering,
                         std::unique_ptr<placement_policy> placement, record_table& table)
    : table_(table),
      scheduler_(std::move(ordering), std::move(placement)),
      document_(std::make_shared<document>()),
      submission_(document_),
      coverage_(machines_),
      outcome_handler_(estimator_, failures_),
      serving_(machines_, failures_),
      gang_monitor_(machines_, outbox_),
      explainer_(rows_, machines_, serving_),
      starts_(rows_, machines_, gang_monitor_, outbox_) {}

void job_planner::On(const document_changed& event) {
  document_ = event.doc;
  submission_ = submission_rules(document_);
  plan_due_ = true;
  ledger_due_ = true;
}

void job_planner::On(const peer_up& event, millis now) {
  if (event.peer.role != peer_role::kWorkerAgent) return;
  const worker_state* known = machines_.Find(event.peer.id);
  if (known != nullptr && known->incarnation != event.peer.incarnation) {
    QueryGangsOf(event.peer.id, now);
  }
  machines_.MarkConnected(event.peer);
  plan_due_ = true;
  ledger_due_ = true;
}

void job_planner::QueryGangsOf(std::string_view anchor, millis now) {
  for (const auto& [id, row] : rows_) {
    const bool anchored_there = IsActive(row.state) && row.members.front().agent == anchor;
    if (anchored_there) gang_monitor_.QueryNow(id, now);
  }
}

void job_planner::On(const peer_down& event, millis now) {
  worker_state* worker = machines_.Find(event.peer);
  if (worker == nullptr || worker->incarnation != event.incarnation) return;
  worker->connected = false;
  worker->disconnected_at = now;
  ledger_due_ = true;
}

void job_planner::On(const peer_said& event, millis now, millis wall_now) {
  state_.now = now;
  state_.wall_now = wall_now;
  if (const auto* announcement = std::get_if<announce>(&event.message)) {
    machines_.ApplyAnnouncement(event.peer, *announcement);
    plan_due_ = true;
    ledger_due_ = true;
  } else if (const auto* answer = std::get_if<reserve_answer>(&event.message)) {
    OnReserveAnswer(event.peer, *answer);
  } else if (const auto* report = std::get_if<gang_report>(&event.message)) {
    OnReport(event.peer, *report);
  } else if (const auto* usage = std::get_if<worker_usage>(&event.message)) {
    OnUsage(event.peer, *usage);
  }
}

void job_planner::On(const table_event& event) {
  const auto* row = std::get_if<job_row>(&event.value);
  if (row == nullptr) return;
  plan_due_ = true;
  const auto known = rows_.find(row->id);
  if (event.what == table_event::kind::kWritten) {
    const auto finished = unacknowledged_.find(row->id);
    if (finished != unacknowledged_.end() && !IsActive(row->state)) {
      Send(final_reporters_[row->id], gang_report_ack{finished->second});
      final_reporters_.erase(row->id);
      unacknowledged_.erase(finished);
    }
    starts_.OnStored(*row, *document_, state_.now);
    if (known == rows_.end()) Sync(*row);  // A submission, which the planner does not write.
    return;
  }
  // Another entry has written the row. Its cancellation is merged into the pending local write.
  const bool ours_pending = table_.Busy("jobs/" + row->id) && known != rows_.end();
  if (event.what == table_event::kind::kChanged && ours_pending) return;
  if (starts_.Superseded(*row)) {
    starts_.Forget(row->id);
    machines_.Free(row->id);
  }
  Sync(*row);
}

void job_planner::Sync(const job_row& row) {
  if (IsFinal(row.state)) {
    rows_.erase(row.id);
    gang_monitor_.Forget(row.id);
    failures_.Forget(row.id);
    if (!starts_.Contains(row.id)) machines_.Free(row.id);
    return;
  }
  rows_[row.id] = row;
  if (IsActive(row.state)) {
    machines_.Allocate(row.id, {row.spec.organisation, row.members, row.borrowing});
    // The guarantee may have moved to other workers since the row was written.
    if (!row.borrowing && !coverage_.Covers(*machines_.FindAllocation(row.id))) ledger_due_ = true;
    return;
  }
  gang_monitor_.Forget(row.id);
  if (!starts_.Contains(row.id)) machines_.Free(row.id);
}

void job_planner::UpdateRow(job_row row, write_rank rank) {
  Sync(row);
  plan_due_ = true;
  table_.Want(std::move(row), rank);
}

void job_planner::OnUsage(std::string_view agent, const worker_usage& usage) {
  if (!state_.leading || !table_.loaded()) return;
  for (const auto& held : usage.held) {
    const stored_record* stored = table_.Find("jobs/" + held.gang.job);
    if (stored == nullptr) continue;
    const auto& row = std::get<job_row>(stored->value);
    const bool obsolete = row.epoch > held.gang.epoch || IsFinal(row.state);
    if (obsolete) Send(agent, release{held.gang});
  }
}

void job_planner::OnReport(std::string_view agent, const gang_report& report) {
  if (!state_.leading) return;
  const auto known = rows_.find(report.gang.job);
  const bool final_state =
      report.state == gang_state::kFinished || report.state == gang_state::kFailed ||
      report.state == gang_state::kStopped || report.state == gang_state::kBarred;
  if (known == rows_.end()) {
    const stored_record* stored = table_.Find("jobs/" + report.gang.job);
    const bool settled = stored != nullptr && !table_.Busy("jobs/" + report.gang.job);
    if (settled && final_state) Send(agent, gang_report_ack{report.gang});
    if (settled && !final_state) Send(agent, gang_stop{report.gang, 0, "the job has ended"});
    return;
  }
  const job_row& row = known->second;
  if (report.gang.epoch > row.epoch) return;  // The local copy of the row is out of date.
  const bool current = report.gang.epoch == row.epoch && IsActive(row.state);
  if (!current) {
    if (final_state) Send(agent, gang_report_ack{report.gang});
    if (!final_state) Send(agent, gang_stop{report.gang, 0, "an earlier start"});
    return;
  }
  if (starts_.Contains(row.id)) return;
  gang_monitor_.RecordReport(row.id, state_.now);
  if (report.state == gang_state::kBarred) {
    OnGangRejected(row, agent);
  } else if (final_state) {
    if (report.state == gang_state::kFailed) ledger_due_ = true;
    UpdateRow(outcome_handler_.AfterReport(row, report, ContextOf(row)), write_rank::kFirst);
    unacknowledged_[report.gang.job] = report.gang;
    final_reporters_[report.gang.job] = agent;
  } else if (report.state == gang_state::kRunning && row.state == job_state::kStarting) {
    job_row running = row;
    running.state = job_state::kRunning;
    UpdateRow(std::move(running), write_rank::kBulk);
  }
}

void job_planner::OnGangRejected(const job_row& row, std::string_view agent) {
  const worker_state* anchor = machines_.Find(agent);
  const bool same = anchor != nullptr && anchor->incarnation == row.anchor_incarnation;
  if (same && row.state == job_state::kStarting) {
    Requeue(row, "the start was not committed");
    return;
  }
  if (!gang_monitor_.MemberLeasesExpired(row.id, state_.now)) return;
  EndWithUnknownOutcome(row, "the gang's first agent was restarted");
}

void job_planner::EndWithUnknownOutcome(const job_row& row, std::string_view reason) {
  UpdateRow(outcome_handler_.AfterUnknownOutcome(row, reason, ContextOf(row)), write_rank::kFirst);
}

void job_planner::Requeue(const job_row& row, std::string_view reason) {
  job_row next = row;
  next.members.clear();
  UpdateRow(outcome_handler_.AfterStop(std::move(next), reason, ContextOf(row)),
            write_rank::kFirst);
}

job_outcome_handler::job_context job_planner::ContextOf(const job_row& row) const {
  return {ClassOf(row), state_.now, state_.wall_now};
}

void job_planner::OnReserveAnswer(std::string_view agent, const reserve_answer& answer) {
  const std::string& job = answer.gang.job;
  switch (starts_.OnAnswer(agent, answer)) {
    case start_coordinator::reservation::kOpen:
      return;
    case start_coordinator::reservation::kRefused:
      return Abort(job, std::string(agent) + " refused: " + answer.reason);
    case start_coordinator::reservation::kComplete:
      return starts_.Commit(job, *document_, state_.now);
  }
}

void job_planner::Tick(const planner_status& state, std::vector<send_to_peer>& messages) {
  const bool took_over = state.leading && !was_leading_;
  state_ = state;
  was_leading_ = state.leading;
  if (took_over) {
    gang_monitor_.ForgetAll();
    plan_due_ = true;
  }
  if (!state.leading) starts_.Abandon();
  if (serving_.UpdateDomains(*document_, state_.now, state_.wall_now)) {
    plan_due_ = true;
    ledger_due_ = true;
  }
  UpdateLedger();
  if (state.leading) {
    CancelWaiting();
    StopUnwanted();
    WatchActive();
    AdvanceStarts();
    Plan();
  }
  machines_.Expire(state.now, kWorkerRetention);
  for (auto& message : outbox_) messages.push_back(std::move(message));
  outbox_.clear();
}

void job_planner::UpdateLedger() {
  if (!ledger_due_ && state_.now < next_ledger_) return;
  ledger_due_ = false;
  next_ledger_ = state_.now + kLedgerInterval;
  coverage_.Update(*document_, serving_.BackingWorkers(state_.now));
  DemoteUncovered();
  PromoteCovered();
}

void job_planner::DemoteUncovered() {
  for (const auto& job : coverage_.Jobs(false)) {
    if (!coverage_.DemoteUncovered(job)) continue;
    const auto row = rows_.find(job);
    if (!state_.leading || row == rows_.end() || starts_.Contains(job)) continue;
    SetBorrowing(row->second, true);
  }
}

void job_planner::PromoteCovered() {
  if (!state_.leading) return;
  for (const auto& job : coverage_.Jobs(true)) {
    const auto row = rows_.find(job);
    const bool steady = row != rows_.end() && row->second.state == job_state::kRunning &&
                        !row->second.cancel_wanted && !starts_.Contains(job);
    if (steady && coverage_.PromoteCovered(job)) SetBorrowing(row->second, false);
  }
}

void job_planner::SetBorrowing(const job_row& row, bool borrowing) {
  job_row next = row;
  next.borrowing = borrowing;
  UpdateRow(std::move(next), write_rank::kBulk);
}

void job_planner::CancelWaiting() {
  std::vector<std::string> cancelled;
  for (const auto& [id, row] : rows_) {
    const bool waits = row.state == job_state::kQueued || row.state == job_state::kParked;
    if (row.cancel_wanted && waits) cancelled.push_back(id);
  }
  for (const auto& id : cancelled) {
    starts_.Forget(id);
    job_row next = rows_.at(id);
    next.state = job_state::kCancelled;
    next.ended_ms = state_.wall_now.count();
    UpdateRow(std::move(next), write_rank::kBulk);
  }
}

void job_planner::StopUnwanted() {
  for (const auto& [id, row] : rows_) {
    if (!IsActive(row.state) || starts_.Contains(id)) continue;
    if (row.cancel_wanted) {
      gang_monitor_.Stop(row, millis(0), "cancelled", state_.now);
      continue;
    }
    StopIfDomainOut(row);
  }
}

void job_planner::StopIfDomainOut(const job_row& row) {
  for (const auto& member : row.members) {
    const worker_state* worker = machines_.Find(member.agent);
    if (worker == nullptr || !serving_.Out(worker->domain)) continue;
    window_mode mode = window_mode::kDrain;
    document_->IsOut(worker->domain, state_.wall_now, &mode);
    if (mode == window_mode::kDrain) continue;
    const job_class* kind = ClassOf(row);
    const bool saves = mode == window_mode::kMove && kind != nullptr;
    gang_monitor_.Stop(row, saves ? kind->checkpoint_ms : millis(0), "domain out", state_.now);
    return;
  }
}

void job_planner::WatchActive() {
  std::vector<std::string> ids;
  for (const auto& [id, row] : rows_) {
    if (IsActive(row.state) && !starts_.Contains(id)) ids.push_back(id);
  }
  for (const auto& id : ids) {
    const job_row row = rows_.at(id);
    gang_monitor_.QueryIfSilent(row, state_.now);
    if (gang_monitor_.AnchorLost(row, state_.now)) {
      EndWithUnknownOutcome(row, "the gang's first worker was lost");
    }
  }
}

void job_planner::Plan() {
  if (!state_.fresh || !table_.loaded() || table_.store_down()) return;
  if (!plan_due_ && state_.now < next_plan_) return;
  plan_due_ = false;
  next_plan_ = state_.now + kPlanInterval;
  serving_.CollectUsable(*document_, state_.now);
  const auto waiting = Waiting();
  const auto running = Active();
  const schedule_view view{*document_, machines_, coverage_.ledger(), estimator_, failures_,
                           waiting,    running,   serving_.usable(),  state_.now, state_.wall_now};
  auto decisions = scheduler_.Plan(view);
  for (auto& decision : decisions) Begin(std::move(decision));
}

std::vector<const job_row*> job_planner::Waiting() const {
  std::vector<const job_row*> waiting;
  for (const auto& [id, row] : rows_) {
    const bool waits = row.state == job_state::kQueued && !row.cancel_wanted;
    if (waits && !starts_.Contains(id) && !table_.Busy("jobs/" + id)) waiting.push_back(&row);
  }
  return waiting;
}

std::vector<const job_row*> job_planner::Active() const {
  std::vector<const job_row*> active;
  for (const auto& [id, row] : rows_) {
    if (IsActive(row.state)) active.push_back(&row);
  }
  return active;
}

void job_planner::Begin(start_decision decision) {
  const std::string job = decision.job;
  const size_t evictions = decision.evictions.size();
  stats_.evictions += static_cast<int64_t>(evictions);
  starts_.Begin(std::move(decision));
  if (evictions == 0) Claim(job);
}

void job_planner::AdvanceStarts() {
  const start_coordinator::due_starts due = starts_.Advance(state_.now);
  for (const auto& job : due.to_claim) Claim(job);
  for (const auto& job : due.late) Abort(job, "an agent did not answer the reservation");
}

void job_planner::Claim(const std::string& job) {
  UpdateRow(starts_.Claim(job, state_.wall_now), write_rank::kFirst);
}

void job_planner::Abort(const std::string& job, std::string_view reason) {
  starts_.Abort(job);
  Requeue(rows_.at(job), reason);
}

const job_class* job_planner::ClassOf(const job_row& row) const {
  return document_->FindJobClass(row.spec.job_class);
}

void job_planner::Send(std::string_view peer, peer_message message) {
  outbox_.push_back({std::string(peer), std::move(message)});
}

planner_stats job_planner::stats() const {
  planner_stats now = stats_;
  for (const auto& [id, row] : rows_) {
    if (IsActive(row.state)) ++now.active;
    if (row.state == job_state::kQueued) ++now.waiting;
  }
  now.starts = starts_.started();
  now.aborted_starts = starts_.aborted();
  now.requeued = outcome_handler_.requeued();
  now.demoted = coverage_.demoted();
  now.suspended_guarantees = coverage_.ledger().suspended();
  return now;
}

}  // namespace eelgrass
