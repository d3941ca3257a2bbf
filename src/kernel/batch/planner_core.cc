#include "kernel/batch/planner_core.h"

#include <algorithm>
#include <cmath>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Maximum time between two plans: due times, pauses and waiting limits pass without any event. */
constexpr millis kPlanInterval{250};

/** Interval at which the planner notice is repeated to peers that may have missed it. */
constexpr millis kNoticeInterval{1000};

/** An agent that has not reported for this long may not know which entry is the planner. */
constexpr millis kReportTimeout{2500};

/** Maximum age of the operator state with which runs may still be started. */
constexpr millis kMaxOperatorStateAge{3500};

/**
 * Maximum age of the job list for the answer "no such job": a caller must see its job at most 3 s
 * after its acceptance (the platform's visible_ms).
 */
constexpr millis kMaxJobListAge{2800};

/** A cancellation is forgotten after this time; its entry repeats it while the caller waits. */
constexpr millis kLongestCancelWait{5000};

constexpr double kPercent = 100;

}  // namespace

planner_core::planner_core(planner_options options, const batch_record_codec& codec,
                           const unit_order& order)
    : options_(std::move(options)),
      term_({options_.node, options_.nonce, options_.processor}, codec),
      speed_archive_(codec, options_.row_bytes),
      journal_(codec, term_, options_.row_bytes),
      lost_(pool_, journal_),
      starts_(order),
      stragglers_(options_.stragglers),
      start_notices_(options_.domain) {
  ResetTermState();
}

void planner_core::Decide(std::span<planner_event> events, millis now, millis wall_now,
                          std::vector<planner_action>& actions) {
  out_ = &actions;
  for (auto& event : events) {
    std::visit([&](auto& e) { On(e, now); }, event);
    if (term_.holding() != was_holding_) term_.holding() ? BeginTerm(now) : EndTerm(now);
  }
  if (auto call = term_.Next(now)) {
    call->token = -1;  // separates the term's calls from those of the journal, which are positive
    out_->emplace_back(std::move(*call));
  }
  if (term_.holding()) {
    ApplyCommit();
    SettleUnknownCancels(now);
    Plan(now, wall_now);
    if (auto request = lost_.Next(now)) out_->emplace_back(*request);
    if (jobs_->TakeFinished()) journal_.RequestWrite();
    std::vector<send_to_peer> orders;
    start_notices_.Next(pool_.starts(), now, orders);
    if (start_notices_.StoreNeeded(pool_.starts(), now)) journal_.RequestWrite();
    orders_->WriteDue(term_.fence(), term_.TermValid(now), orders);
    for (auto& order : orders) out_->emplace_back(std::move(order));
    std::vector<store_request> calls;
    journal_.Next(*jobs_, pool_, now, calls);
    for (auto& call : calls) out_->emplace_back(std::move(call));
    const bool may_write = term_.TermValid(now) && !journal_.handed_over();
    auto call = may_write ? speed_archive_.Next(speeds_, term_.clock(), now) : std::nullopt;
    if (call) out_->emplace_back(std::move(*call));
  }
  if (!term_.holding()) pool_.starts().Expire(now);
  Notify(now);
  out_ = nullptr;
}

void planner_core::On(store_reply& event, millis now) {
  if (event.token <= kFirstArchiveToken) {
    if (term_.holding()) speed_archive_.On(event, speeds_, term_.clock(), now);
  } else if (event.token < 0) {
    term_.On(event, now);
  } else {
    journal_.On(event, *jobs_, pool_, now);
  }
}

void planner_core::On(peer_up& event, millis now) {
  ForgetInquiries(event.peer.id);
  if (event.peer.role == peer_role::kEntry) {
    entries_[event.peer.id] = event.peer.address;
    disconnected_entries_.erase(event.peer.id);
    term_.OnConnected(event.peer.id, event.peer.processor, now);
    start_notices_.OnConnected(event.peer.id, event.peer.domain, event.peer.processor);
    SendOpenStarts(event.peer.id, now);
  } else {
    agents_.insert(event.peer.id);
    pool_.starts().OnAgentConnected(event.peer.id, event.peer.incarnation, now);
  }
  if (term_.holding()) {
    out_->emplace_back(send_to_peer{event.peer.id, Notice(now)});
  } else if (event.peer.role != peer_role::kEntry && received_notice_.term > 0) {
    out_->emplace_back(send_to_peer{event.peer.id, received_notice_});
  }
}

void planner_core::On(peer_refused& event, millis now) {
  for (const auto& [id, address] : disconnected_entries_) {
    if (address == event.address) term_.OnProcessEnded(id, now);
  }
}

void planner_core::On(peer_down& event, millis now) {
  ForgetInquiries(event.peer);
  if (const auto entry = entries_.find(event.peer); entry != entries_.end()) {
    disconnected_entries_[entry->first] = entry->second;
    entries_.erase(entry);
  }
  start_notices_.OnDisconnected(event.peer);
  agents_.erase(event.peer);
  term_.OnDisconnected(event.peer, now);
  tracker_->OnAgentDisconnected(event.peer);
}

void planner_core::On(peer_said& event, millis now) {
  if (auto* report = std::get_if<worker_report>(&event.message)) {
    ApplyReport(event.peer, *report, now);
  } else if (const auto* notice = std::get_if<planner_notice>(&event.message)) {
    term_.OnNotice(event.peer, *notice, now);
    OnPlannerNotice(*notice, now);
  } else if (const auto* inquiry = std::get_if<job_inquiry>(&event.message)) {
    AnswerInquiry(event.peer, *inquiry, now);
  } else if (const auto* accepted_job = std::get_if<job_accepted>(&event.message)) {
    OnAccepted(*accepted_job, now);
  } else if (const auto* known = std::get_if<open_starts_notice>(&event.message)) {
    OnOpenStarts(event.peer, *known, now);
  } else if (const auto* received = std::get_if<open_starts_received>(&event.message)) {
    start_notices_.On(event.peer, *received, pool_.starts());
  }
}

void planner_core::OnOpenStarts(const std::string& peer, const open_starts_notice& notice,
                                millis now) {
  if (term_.holding() && notice.term == term_.fence()) {
    return pool_.starts().OnStatement(peer, notice, now);
  }
  if (agents_.contains(peer)) return pool_.starts().LearnFromAgent(peer, notice, now);
  pool_.starts().Learn(notice, now);
  if (notice.number == 0) return;
  out_->emplace_back(send_to_peer{peer, open_starts_received{notice.number}});
}

/** Tells another entry which starts may still be carried out, as far as this entry knows. */
void planner_core::SendOpenStarts(const std::string& entry, millis now) {
  open_starts_notice known = pool_.starts().Notice(now);
  if (!known.workers.empty()) out_->emplace_back(send_to_peer{entry, std::move(known)});
}

/**
 * Tells the next planner what this entry knows, and forwards another planner's notice to the
 * connected agents, which may not know its address.
 */
void planner_core::OnPlannerNotice(const planner_notice& notice, millis now) {
  if (notice.term < received_notice_.term) return;
  const bool next_planner = notice.term > received_notice_.term && !notice.planner.empty();
  if (next_planner) SendOpenStarts(notice.planner, now);
  const bool same = notice.term == received_notice_.term &&
                    notice.planner == received_notice_.planner &&
                    notice.entries == received_notice_.entries;
  received_notice_ = notice;
  if (same) return;
  for (const auto& id : agents_) out_->emplace_back(send_to_peer{id, notice});
}

void planner_core::On(advice_reply& event, millis now) {
  tickets_.On(event, now);
  last_planned_change_ = -1;
}

void planner_core::On(vm_listing& event, millis now) {
  const std::vector<std::string> ended = lost_.On(event);
  if (term_.holding()) Forget(ended, "its VM is down", now);
}

void planner_core::On(local_gateway_message& event, millis now) {
  if (const auto* inquiry = std::get_if<job_inquiry>(&event.message)) {
    AnswerInquiry("", *inquiry, now);
  }
  if (const auto* accepted_job = std::get_if<job_accepted>(&event.message)) {
    OnAccepted(*accepted_job, now);
  }
}

void planner_core::OnAccepted(const job_accepted& accepted_job, millis now) {
  if (!term_.holding()) return;
  const row accepted{{std::string(kJobsTable), "", accepted_job.job},
                     accepted_job.record,
                     accepted_job.revision,
                     false};
  journal_.OnAccepted(accepted, *jobs_, now);
}

void planner_core::On(operator_state_update& event, millis) {
  operators_ = std::move(event.state);
  operators_confirmed_ = event.confirmed;
  term_.OnStoreContact(event.confirmed);
  last_planned_change_ = -1;
}

void planner_core::On(planner_drain&, millis) {
  if (term_.holding()) journal_.HandOver();
}

/** Discards all state that belongs to one term; unanswered starts outlast it. */
void planner_core::ResetTermState() {
  if (tracker_ != nullptr) given_up_in_earlier_terms_ += tracker_->given_up();
  planning_ = runs_known_ = false;
  usage_ = {};
  forecaster_ = load_forecaster();
  journal_.Reset();
  pool_ = worker_pool{std::move(pool_.starts())};
  jobs_ = std::make_unique<job_table>(options_.early);
  tracker_options tracking = options_.tracking;
  tracking.announce_starts = true;
  tracker_ = std::make_unique<run_tracker>(tracking, *jobs_, pool_, speeds_, &tickets_);
  orders_ = std::make_unique<order_writer>(options_.tracking.grant, *jobs_, pool_);
}

void planner_core::BeginTerm(millis now) {
  was_holding_ = true;
  term_start_ = now;
  LogOpenStarts(now);
  last_forgotten_ = millis(INT64_MIN / 4);
  ResetTermState();
  tracker_->Begin(term_.fence());
  pending_reports_.clear();
  reported_.clear();
  tickets_.Reset();
  speed_archive_.BeginTerm(term_.fence(), now);
  lost_.BeginTerm(now);
  start_notices_.BeginTerm();
}

void planner_core::LogOpenStarts(millis now) const {
  for (const auto& worker : pool_.starts().Notice(now).workers) {
    for (const auto& start : worker.starts) {
      log_event("open-start-at-takeover")
          .With("term", term_.fence())
          .With("worker", worker.worker)
          .With("task", start.task)
          .With("run", start.run)
          .With("left_ms", start.left_ms);
    }
  }
}

void planner_core::EndTerm(millis now) {
  was_holding_ = false;
  pool_.starts().OnTermEnded(now);
  ResetTermState();
  for (const auto& [job, askers] : cancels_) {
    for (const auto& [asker, id] : askers) Reply(asker, {id, inquiry_outcome::kNotPlanner});
  }
  cancels_.clear();
  for (const auto& [asked, waiting] : unknown_cancels_) {
    Reply(asked.first, {waiting.inquiry.id, inquiry_outcome::kNotPlanner});
  }
  unknown_cancels_.clear();
}

void planner_core::ApplyReport(const std::string& agent, worker_report& report, millis now) {
  const bool only_starts = !report.present && report.term == 0;
  if (!term_.holding() || only_starts) {
    return pool_.starts().Report(agent, report.worker, report.unanswered, now);
  }
  if (report.term > term_.fence()) return term_.StepDown("an agent reported a higher term", now);
  reported_[agent] = now;
  if (!journal_.loaded()) {
    pending_reports_[{agent, report.worker.self.id}] = std::move(report);
    return;
  }
  static const batch_config kNoConfig;
  const batch_config& config = operators_.config == nullptr ? kNoConfig : *operators_.config;
  const bool lists = tracker_->On(agent, report, config, now);
  const pool_worker* worker = pool_.Find(report.worker.self.id);
  if (lists && worker != nullptr) {
    journal_.OnWorkerReported(report.worker.self.id);
    lost_.OnWorkerReported(report.worker.self.id);
    Forget(lost_.ReplacedBy(*worker), "another worker has its address", now);
    pool_.starts().OnListed(worker->profile);
  }
  if (worker != nullptr && !worker->recorded && !worker->recording) journal_.RequestWrite();
}

/** Removes workers on which nothing can run any more. */
void planner_core::Forget(std::span<const std::string> workers, std::string_view reason,
                          millis now) {
  for (const auto& id : workers) {
    tracker_->Drop(id, reason, now);
    if (journal_.expected().contains(id)) last_forgotten_ = now;
    journal_.Forget(id);
  }
}

void planner_core::AnswerInquiry(const std::string& asker, const job_inquiry& inquiry, millis now) {
  job_reply reply{inquiry.id};
  if (!term_.holding()) {
    reply.outcome = inquiry_outcome::kNotPlanner;
    return Reply(asker, reply);
  }
  if (!term_.TermValid(now) || !journal_.loaded()) return Reply(asker, reply);
  reply.outcome = inquiry_outcome::kKnown;
  if (inquiry.question == job_question::kWaiting) {
    reply.waiting = CountWaiting(inquiry.queue);
    return Reply(asker, reply);
  }
  const tracked_job* job = jobs_->Find(inquiry.job);
  if (job == nullptr && inquiry.question == job_question::kCancel) {
    // Its caller would believe that nothing runs: only a list that is complete up to now tells.
    unknown_cancels_.try_emplace({asker, inquiry.id}, unknown_cancel{inquiry, now});
    return;
  }
  if (job == nullptr || job->job.queue != inquiry.queue) {
    const bool certain = now - journal_.complete_until() < kMaxJobListAge;
    reply.outcome = certain ? inquiry_outcome::kNoSuchJob : inquiry_outcome::kUnavailable;
    return Reply(asker, reply);
  }
  if (inquiry.question == job_question::kState) {
    // A final state is reported only once it is stored.
    reply.state = job->stored ? job->state : batch_state::kRunning;
    return Reply(asker, reply);
  }
  jobs_->Cancel(inquiry.job);
  reply.state = job->state;
  if (job->stored) return Reply(asker, reply);
  journal_.RequestWrite();
  cancels_[inquiry.job].emplace_back(asker, inquiry.id);
}

/** Cancels jobs that have become known, and answers for those that no store row can hold. */
void planner_core::SettleUnknownCancels(millis now) {
  for (auto at = unknown_cancels_.begin(); at != unknown_cancels_.end();) {
    const std::string asker = at->first.first;
    const unknown_cancel waiting = at->second;
    const bool known = jobs_->Find(waiting.inquiry.job) != nullptr;
    const bool unknown = !known && journal_.complete_until() >= waiting.asked;
    const bool over = now - waiting.asked > kLongestCancelWait;
    if (!known && !unknown && !over) {
      ++at;
      continue;
    }
    at = unknown_cancels_.erase(at);
    if (known) AnswerInquiry(asker, waiting.inquiry, now);
    if (unknown) Reply(asker, {waiting.inquiry.id, inquiry_outcome::kNoSuchJob});
  }
}

/** The next process of an entry counts its inquiries anew; the same process repeats them. */
void planner_core::ForgetInquiries(const std::string& asker) {
  std::erase_if(unknown_cancels_, [&](const auto& entry) { return entry.first.first == asker; });
  for (auto& [job, askers] : cancels_) {
    std::erase_if(askers, [&](const auto& entry) { return entry.first == asker; });
  }
}

void planner_core::Reply(const std::string& asker, const job_reply& reply) {
  if (asker.empty()) {
    out_->emplace_back(send_to_gateway{reply});
  } else {
    out_->emplace_back(send_to_peer{asker, reply});
  }
}

int64_t planner_core::CountWaiting(std::string_view queue) const {
  int64_t waiting = 0;
  for (const auto& id : jobs_->open()) {
    const tracked_job* job = jobs_->Find(id);
    if (job->job.queue == queue && !job->begun) ++waiting;
  }
  return waiting;
}

planner_statistics planner_core::stats(millis now) const {
  planner_statistics stats;
  stats.planning = planning_;
  stats.runs_given_up = given_up_in_earlier_terms_ + tracker_->given_up();
  stats.open_starts = static_cast<int64_t>(pool_.starts().count());
  stats.stalled_units_moved = stragglers_.units_moved();
  stats.worker_quarantines = stragglers_.quarantines();
  stats.ignored_speed_rows = speed_archive_.ignored_rows();
  stats.tickets.failed_calls = tickets_.stats().failed_calls;
  if (!term_.holding()) return stats;
  stats.quarantined_workers = CountQuarantined(pool_, now);
  stats.known_speeds = speeds_.known();
  stats.greatest_slowdown_percent = std::lround(kPercent * speeds_.greatest_slowdown());
  stats.term = term_.fence();
  stats.crowding = usage_.crowding();
  stats.tickets = tickets_.stats();
  stats.open_jobs = static_cast<int64_t>(jobs_->open().size());
  for (const auto& id : jobs_->open()) stats.waiting_jobs += jobs_->Find(id)->begun ? 0 : 1;
  stats.workers = static_cast<int64_t>(pool_.all().size());
  for (const auto& [id, worker] : pool_.all()) {
    stats.runs += static_cast<int64_t>(worker.runs.size());
  }
  return stats;
}

void planner_core::ApplyCommit() {
  const auto written = journal_.TakeCommit();
  if (!written) return;
  for (const auto& [id, state] : written->jobs) {
    jobs_->OnStored(id, state);
    if (!IsFinal(state)) continue;
    log_event("job-stored").With("job", id).With("state", BatchStateName(state));
    const auto askers = cancels_.find(id);
    if (askers == cancels_.end()) continue;
    for (const auto& [asker, inquiry] : askers->second) {
      job_reply reply{inquiry, inquiry_outcome::kKnown, state};
      Reply(asker, reply);
    }
    cancels_.erase(askers);
  }
  tracker_->OnEndsStored(written->ends);
  for (const auto& record : written->workers) {
    std::vector<run_ref> starts;
    for (const auto& start : record.starts) starts.push_back({start.task, start.run});
    pool_.starts().OnStored(record.id, starts);
    pool_worker* worker = pool_.Find(record.id);
    // An incarnation that started, or an address that changed, during the write is not in the row.
    const bool same = worker != nullptr && worker->profile.self.born_ms == record.born_ms &&
                      worker->profile.address == record.address;
    if (same) worker->recorded = true;
  }
  last_planned_change_ = -1;
}

/** Whether the term is confirmed to have been held after a past time; if not, requests that. */
bool planner_core::EnsureConfirmedAfter(millis past) {
  if (term_.confirmed() > past) return true;
  journal_.ConfirmAfter(past);
  return false;
}

/**
 * Whether all leases that earlier planners may have granted expired while this planner held the
 * term. If it had lost the term before, a later planner might have extended them.
 */
bool planner_core::EarlierLeasesExpired(millis now) {
  const millis over = term_start_ + kTermValidity + LeaseBound(options_.tracking.grant);
  return now > over && EnsureConfirmedAfter(over);
}

/** Whether all runs of earlier terms that are open are known. */
bool planner_core::RunsKnown(millis now) {
  if (runs_known_) return true;
  if (!journal_.loaded()) return false;
  if (!pending_reports_.empty()) {
    auto reports = std::move(pending_reports_);
    pending_reports_.clear();
    for (auto& [source, report] : reports) ApplyReport(source.first, report, now);
  }
  if (!journal_.expected().empty() && !EarlierLeasesExpired(now)) return false;
  // If the term was lost, a later planner may have received the ends of runs on a removed worker.
  if (!EnsureConfirmedAfter(last_forgotten_)) return false;
  runs_known_ = true;
  return true;
}

/**
 * Whether all runs of earlier terms are known or have ended. Units may be done by runs whose ends a
 * worker does not list yet, until enough of the listed ones have been released.
 */
bool planner_core::Recovered(millis now) {
  if (planning_) return true;
  if (!RunsKnown(now)) return false;
  const auto& workers = pool_.all();
  const bool all_ends = std::none_of(workers.begin(), workers.end(), [](const auto& entry) {
    return entry.second.listing && entry.second.more_ends;
  });
  if (!all_ends) return false;
  planning_ = true;
  log_event("planning-begins")
      .With("term", term_.fence())
      .With("after_ms", (now - term_start_).count())
      .With("unreported_workers", static_cast<int64_t>(journal_.expected().size()));
  while (!journal_.expected().empty()) {
    journal_.Forget(std::string(journal_.expected().begin()->first));
  }
  return true;
}

void planner_core::Plan(millis now, millis wall_now) {
  const bool recovered = Recovered(now);
  if (!journal_.loaded()) return;
  tracker_->CompleteJobs(recovered);
  tracker_->ReleaseEnds(runs_known_, now);
  if (operators_.config == nullptr) return;
  jobs_->Release(now, wall_now);
  if (const auto end = tracker_->Tick(now, term_.confirmed())) journal_.ConfirmAfter(*end);
  Forget(lost_.Unreported(now, term_.confirmed()), "the worker is gone", now);
  const bool informed = now - operators_confirmed_ < kMaxOperatorStateAge;
  if (!term_.TermValid(now) || !informed || journal_.handed_over()) return;
  const int64_t changes = tracker_->changes() + static_cast<int64_t>(jobs_->all().size());
  if (changes == last_planned_change_ && now < next_plan_) return;
  last_planned_change_ = changes;
  next_plan_ = now + kPlanInterval;
  if (recovered) speeds_.Retain(pool_);
  speeds_.Update(now);
  jobs_->PredictWork();
  const planning_view view{*jobs_,
                           pool_,
                           *operators_.config,
                           operators_.evacuated,
                           speeds_,
                           &tickets_,
                           now,
                           recovered ? 0 : term_.fence(),
                           term_.confirmed(),
                           &usage_};
  for (const auto& unit : stragglers_.Decide(tracker_->TakeOutcomes(), view, pool_)) {
    tracker_->Stop(unit, "it stands still", now);
  }
  usage_.Update(view);
  const start_plan plan = starts_.Plan(view);
  tracker_->Apply(plan, now);
  if (auto request = tickets_.Next(plan.advice, view)) out_->emplace_back(std::move(*request));
  if (auto forecast = forecaster_.Next(view)) Publish(std::move(*forecast));
}

/** Sends a load forecast to all entries. */
void planner_core::Publish(load_forecast forecast) {
  forecast.term = term_.fence();
  for (const auto& [id, address] : entries_) out_->emplace_back(send_to_peer{id, forecast});
  out_->emplace_back(send_to_gateway{std::move(forecast)});
}

planner_notice planner_core::Notice(millis now) const {
  planner_notice notice;
  notice.term = term_.fence();
  notice.planner = journal_.handed_over() ? std::string() : options_.node;
  notice.store_lost = term_.store_lost(now);
  notice.entries.push_back(options_.peer_address);
  for (const auto& [id, address] : entries_) notice.entries.push_back(address);
  return notice;
}

/** Sends the notice to the gateway and all peers when it has changed. */
void planner_core::Notify(millis now) {
  if (!term_.holding()) return;
  const planner_notice notice = Notice(now);
  const bool same = notice.term == sent_notice_.term && notice.planner == sent_notice_.planner &&
                    notice.store_lost == sent_notice_.store_lost &&
                    notice.entries == sent_notice_.entries;
  if (same) return RepeatNotice(notice, now);
  sent_notice_ = notice;
  next_repeat_ = now + kNoticeInterval;
  out_->emplace_back(send_to_gateway{notice});
  for (const auto& [id, address] : entries_) out_->emplace_back(send_to_peer{id, notice});
  for (const auto& id : agents_) out_->emplace_back(send_to_peer{id, notice});
}

/** Repeats the notice, as one may be lost together with the connection that carried it. */
void planner_core::RepeatNotice(const planner_notice& notice, millis now) {
  if (now < next_repeat_) return;
  next_repeat_ = now + kNoticeInterval;
  for (const auto& [id, address] : entries_) out_->emplace_back(send_to_peer{id, notice});
  for (const auto& id : agents_) {
    const auto last_report = reported_.find(id);
    const bool silent =
        last_report == reported_.end() || now - last_report->second > kReportTimeout;
    if (silent) out_->emplace_back(send_to_peer{id, notice});
  }
}

}  // namespace eelgrass
