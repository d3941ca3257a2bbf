#include "kernel/jobs/job_planner.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kPlanInterval{1000};    // without any change
constexpr millis kLedgerInterval{5000};  // without any change
constexpr millis kReserveHold{3000};
constexpr millis kReserveTimeout{1000};
constexpr millis kForgetWorker{3600000};

}  // namespace

job_planner::job_planner(std::unique_ptr<queue_policy> ordering,
                         std::unique_ptr<placement_policy> placement, record_table& table)
    : table_(table),
      scheduler_(std::move(ordering), std::move(placement)),
      document_(std::make_shared<document>()),
      submission_(document_),
      cover_(machines_),
      settler_(estimator_, failures_),
      serving_(machines_, failures_),
      watch_(machines_, outbox_),
      explainer_(rows_, machines_, serving_) {}

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
    AskAbout(event.peer.id, now);
  }
  machines_.Up(event.peer);
  plan_due_ = true;
  ledger_due_ = true;
}

void job_planner::AskAbout(std::string_view anchor, millis now) {
  for (const auto& [id, row] : rows_) {
    const bool concerned = IsActive(row.state) && row.members.front().agent == anchor;
    if (concerned) watch_.AskSoon(id, now);
  }
}

void job_planner::On(const peer_down& event, millis now) {
  worker_state* worker = machines_.Find(event.peer);
  if (worker == nullptr || worker->incarnation != event.incarnation) return;
  worker->connected = false;
  worker->lost_at = now;
  ledger_due_ = true;
}

void job_planner::On(const peer_said& event, millis now, millis wall_now) {
  state_.now = now;
  state_.wall_now = wall_now;
  if (const auto* offer = std::get_if<announce>(&event.message)) {
    machines_.Offer(event.peer, *offer);
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
  const auto flow = flows_.find(row->id);
  const auto known = rows_.find(row->id);
  if (event.what == table_event::kind::kWritten) {
    const auto finished = unacknowledged_.find(row->id);
    if (finished != unacknowledged_.end() && !IsActive(row->state)) {
      Send(final_reporters_[row->id], gang_report_ack{finished->second});
      final_reporters_.erase(row->id);
      unacknowledged_.erase(finished);
    }
    const bool claimed = flow != flows_.end() && flow->second.at == phase::kClaiming &&
                         row->state == job_state::kStarting;
    if (claimed) Reserve(flow->second);
    if (known == rows_.end()) Sync(*row);  // A submission, which did not pass through here.
    return;
  }
  // Another entry has written the row. Its cancellation is taken over into our own changes.
  const bool ours_pending = table_.Busy("jobs/" + row->id) && known != rows_.end();
  if (event.what == table_event::kind::kChanged && ours_pending) return;
  if (flow != flows_.end()) {
    const bool still_waits = flow->second.at == phase::kEvicting &&
                             row->state == job_state::kQueued && !row->cancel_wanted;
    if (!still_waits) {
      flows_.erase(flow);
      machines_.Free(row->id);
    }
  }
  Sync(*row);
}

void job_planner::Sync(const job_row& row) {
  if (IsFinal(row.state)) {
    rows_.erase(row.id);
    watch_.Forget(row.id);
    failures_.Forget(row.id);
    if (flows_.find(row.id) == flows_.end()) machines_.Free(row.id);
    return;
  }
  rows_[row.id] = row;
  if (IsActive(row.state)) {
    machines_.Allocate(row.id, {row.spec.organisation, row.members, row.borrowing});
    // The row may not know yet that its guarantee has moved away.
    if (!row.borrowing && !cover_.Covers(*machines_.FindAllocation(row.id))) ledger_due_ = true;
    return;
  }
  watch_.Forget(row.id);
  if (flows_.find(row.id) == flows_.end()) machines_.Free(row.id);
}

void job_planner::Change(job_row row, write_rank rank) {
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
    const bool over = row.epoch > held.gang.epoch || IsFinal(row.state);
    if (over) Send(agent, release{held.gang});
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
  if (report.gang.epoch > row.epoch) return;  // Our view of the row is behind.
  const bool current = report.gang.epoch == row.epoch && IsActive(row.state);
  if (!current) {
    if (final_state) Send(agent, gang_report_ack{report.gang});
    if (!final_state) Send(agent, gang_stop{report.gang, 0, "an earlier start"});
    return;
  }
  if (flows_.find(row.id) != flows_.end()) return;
  watch_.Reported(row.id, state_.now);
  if (report.state == gang_state::kBarred) {
    OnBarred(row, agent);
  } else if (final_state) {
    if (report.state == gang_state::kFailed) ledger_due_ = true;
    Change(settler_.AfterReport(row, report, SituationOf(row)), write_rank::kFirst);
    unacknowledged_[report.gang.job] = report.gang;
    final_reporters_[report.gang.job] = agent;
  } else if (report.state == gang_state::kRunning && row.state == job_state::kStarting) {
    job_row running = row;
    running.state = job_state::kRunning;
    Change(std::move(running), write_rank::kBulk);
  }
}

void job_planner::OnBarred(const job_row& row, std::string_view agent) {
  const worker_state* anchor = machines_.Find(agent);
  const bool same = anchor != nullptr && anchor->incarnation == row.anchor_incarnation;
  if (same && row.state == job_state::kStarting) {
    Requeue(row, "the start was not committed");
    return;
  }
  if (!watch_.BarredLongEnough(row.id, state_.now)) return;
  EndUnknown(row, "the gang's first agent was restarted");
}

void job_planner::EndUnknown(const job_row& row, std::string_view reason) {
  Change(settler_.AfterLoss(row, reason, SituationOf(row)), write_rank::kFirst);
}

void job_planner::Requeue(const job_row& row, std::string_view reason) {
  job_row next = row;
  next.members.clear();
  Change(settler_.AfterStop(std::move(next), reason, SituationOf(row)), write_rank::kFirst);
}

job_settler::situation job_planner::SituationOf(const job_row& row) const {
  return {ClassOf(row), state_.now, state_.wall_now};
}

void job_planner::OnReserveAnswer(std::string_view agent, const reserve_answer& answer) {
  const auto found = flows_.find(answer.gang.job);
  if (found == flows_.end() || found->second.at != phase::kReserving) return;
  if (rows_.at(answer.gang.job).epoch != answer.gang.epoch) return;
  if (!answer.granted) {
    Abort(answer.gang.job, std::string(agent) + " refused: " + answer.reason);
    return;
  }
  start_flow& flow = found->second;
  const auto waiting = flow.awaiting.find(agent);
  if (waiting != flow.awaiting.end()) flow.awaiting.erase(waiting);
  if (flow.awaiting.empty()) Commit(flow);
}

void job_planner::Tick(const standing& state, std::vector<send_to_peer>& messages) {
  const bool took_over = state.leading && !was_leading_;
  state_ = state;
  was_leading_ = state.leading;
  if (took_over) {
    watch_.ForgetAll();
    plan_due_ = true;
  }
  if (!state.leading && !flows_.empty()) {
    // Another entry plans now. Starts that were claimed are settled by it through the anchors.
    for (const auto& [job, flow] : flows_) {
      if (flow.at == phase::kEvicting) machines_.Free(job);
    }
    flows_.clear();
  }
  if (serving_.FollowDomains(*document_, state_.now, state_.wall_now)) {
    plan_due_ = true;
    ledger_due_ = true;
  }
  UpdateLedger();
  if (state.leading) {
    CancelWaiting();
    StopUnwanted();
    WatchActive();
    AdvanceFlows();
    Plan();
  }
  machines_.Expire(state.now, kForgetWorker);
  for (auto& message : outbox_) messages.push_back(std::move(message));
  outbox_.clear();
}

void job_planner::UpdateLedger() {
  if (!ledger_due_ && state_.now < next_ledger_) return;
  ledger_due_ = false;
  next_ledger_ = state_.now + kLedgerInterval;
  cover_.Update(*document_, serving_.Backing(state_.now));
  DemoteUncovered();
  PromoteCovered();
}

void job_planner::DemoteUncovered() {
  for (const auto& job : cover_.Jobs(false)) {
    if (!cover_.DemoteUncovered(job)) continue;
    const auto row = rows_.find(job);
    if (!state_.leading || row == rows_.end() || flows_.contains(job)) continue;
    NoteBorrowing(row->second, true);
  }
}

void job_planner::PromoteCovered() {
  if (!state_.leading) return;
  for (const auto& job : cover_.Jobs(true)) {
    const auto row = rows_.find(job);
    const bool steady = row != rows_.end() && row->second.state == job_state::kRunning &&
                        !row->second.cancel_wanted && !flows_.contains(job);
    if (steady && cover_.PromoteCovered(job)) NoteBorrowing(row->second, false);
  }
}

void job_planner::NoteBorrowing(const job_row& row, bool borrowing) {
  job_row next = row;
  next.borrowing = borrowing;
  Change(std::move(next), write_rank::kBulk);
}

void job_planner::CancelWaiting() {
  std::vector<std::string> cancelled;
  for (const auto& [id, row] : rows_) {
    const bool waits = row.state == job_state::kQueued || row.state == job_state::kParked;
    if (row.cancel_wanted && waits) cancelled.push_back(id);
  }
  for (const auto& id : cancelled) {
    flows_.erase(id);
    job_row next = rows_.at(id);
    next.state = job_state::kCancelled;
    next.ended_ms = state_.wall_now.count();
    Change(std::move(next), write_rank::kBulk);
  }
}

void job_planner::StopUnwanted() {
  for (const auto& [id, row] : rows_) {
    if (!IsActive(row.state) || flows_.contains(id)) continue;
    if (row.cancel_wanted) {
      watch_.Stop(row, millis(0), "cancelled", state_.now);
      continue;
    }
    StopInDomainsOut(row);
  }
}

void job_planner::StopInDomainsOut(const job_row& row) {
  for (const auto& member : row.members) {
    const worker_state* worker = machines_.Find(member.agent);
    if (worker == nullptr || !serving_.Out(worker->domain)) continue;
    window_mode mode = window_mode::kDrain;
    document_->IsOut(worker->domain, state_.wall_now, &mode);
    if (mode == window_mode::kDrain) continue;
    const job_class* kind = ClassOf(row);
    const bool saves = mode == window_mode::kMove && kind != nullptr;
    watch_.Stop(row, saves ? kind->checkpoint_ms : millis(0), "domain out", state_.now);
    return;
  }
}

void job_planner::WatchActive() {
  std::vector<std::string> ids;
  for (const auto& [id, row] : rows_) {
    if (IsActive(row.state) && !flows_.contains(id)) ids.push_back(id);
  }
  for (const auto& id : ids) {
    const job_row row = rows_.at(id);
    watch_.AskIfSilent(row, state_.now);
    if (watch_.Lost(row, state_.now)) EndUnknown(row, "the gang's first worker was lost");
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
  const schedule_view view{*document_, machines_, cover_.ledger(),   estimator_, failures_,
                           waiting,    running,   serving_.usable(), state_.now, state_.wall_now};
  auto decisions = scheduler_.Plan(view);
  for (auto& decision : decisions) Begin(std::move(decision));
}

std::vector<const job_row*> job_planner::Waiting() const {
  std::vector<const job_row*> waiting;
  for (const auto& [id, row] : rows_) {
    const bool waits = row.state == job_state::kQueued && !row.cancel_wanted;
    if (waits && !flows_.contains(id) && !table_.Busy("jobs/" + id)) waiting.push_back(&row);
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
  start_flow flow;
  const std::string job = decision.job;
  flow.deadline = state_.now;
  flow.decision = std::move(decision);
  stats_.evictions += static_cast<int64_t>(flow.decision.evictions.size());
  auto& stored = flows_[job] = std::move(flow);
  if (stored.decision.evictions.empty()) Claim(stored);
}

void job_planner::AdvanceFlows() {
  std::vector<std::string> late;
  std::vector<std::string> ready;
  for (auto& [job, flow] : flows_) {
    if (flow.at == phase::kReserving && state_.now >= flow.deadline) late.push_back(job);
    if (flow.at != phase::kEvicting) continue;
    bool gone = true;
    for (const auto& victim : flow.decision.evictions) {
      const auto row = rows_.find(victim.job);
      const bool stays = row != rows_.end() && row->second.epoch == victim.epoch &&
                         IsActive(row->second.state) && !flows_.contains(victim.job);
      if (!stays) continue;
      gone = false;
      watch_.Stop(row->second, victim.checkpoint, "reclaimed", state_.now);
    }
    if (gone) ready.push_back(job);
  }
  for (const auto& job : ready) Claim(flows_.at(job));
  for (const auto& job : late) Abort(job, "an agent did not answer the reservation");
}

void job_planner::Claim(start_flow& flow) {
  flow.at = phase::kClaiming;
  job_row row = rows_.at(flow.decision.job);
  const worker_state* anchor = machines_.Find(flow.decision.members.front().agent);
  row.state = job_state::kStarting;
  ++row.epoch;
  row.members = flow.decision.members;
  row.borrowing = flow.decision.borrowing;
  row.anchor_incarnation = anchor != nullptr ? anchor->incarnation : 0;
  row.started_ms = state_.wall_now.count();
  row.reason.clear();
  Change(std::move(row), write_rank::kFirst);
}

void job_planner::Reserve(start_flow& flow) {
  flow.at = phase::kReserving;
  flow.deadline = state_.now + kReserveTimeout;
  const job_row& row = rows_.at(flow.decision.job);
  for (const auto& member : row.members) {
    flow.awaiting.insert(member.agent);
    Send(member.agent, reserve{{row.id, row.epoch},
                               member.tasks,
                               member.amount,
                               kReserveHold.count(),
                               document_->version});
  }
}

void job_planner::Commit(start_flow& flow) {
  const job_row& row = rows_.at(flow.decision.job);
  const job_class* kind = ClassOf(row);
  commit message;
  message.gang = {row.id, row.epoch};
  message.members = row.members;
  message.run_ms = std::max<int64_t>(1, row.spec.run_ms.count() - row.saved_ms);
  message.limit_ms = kind != nullptr ? kind->longest_ms.count() : 0;
  message.fails = row.spec.fails;
  ++stats_.starts;
  watch_.Begin(row.id, state_.now);
  Send(row.members.front().agent, std::move(message));
  flows_.erase(row.id);
}

void job_planner::Abort(const std::string& job, std::string_view reason) {
  const job_row row = rows_.at(job);
  ++stats_.aborted_starts;
  for (const auto& member : row.members) Send(member.agent, release{{row.id, row.epoch}});
  flows_.erase(job);
  Requeue(row, reason);
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
  now.requeued = settler_.requeued();
  now.uncovered = cover_.demoted();
  now.suspended_guarantees = cover_.ledger().suspended();
  return now;
}

result<void> job_planner::CheckSubmission(const job_spec& spec) const {
  return submission_.Check(spec);
}

}  // namespace eelgrass
