#include "kernel/batch/planner_core.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Plans are made anew at least this often: timed occurrences, pauses and patience run out. */
constexpr millis kPlanInterval{250};

/** The notice is repeated at this pace to whoever may have missed it. */
constexpr millis kRepeat{1000};

/** An agent that has not reported for this long may not know who plans. */
constexpr millis kHeardOf{2500};

/** Starts need to know what operators want at least this well. */
constexpr millis kOperatorsAge{3500};

/**
 * "No such job" needs a list of jobs that is at most this old: callers see their job 3 s after its
 * acceptance (the platform's visible_ms) at the latest.
 */
constexpr millis kListAge{2800};

}  // namespace

planner_core::planner_core(planner_options options, const batch_record_codec& codec,
                           const unit_order& order)
    : options_(std::move(options)),
      term_(options_.node, options_.nonce, codec),
      journal_(codec, term_),
      lost_(pool_, journal_),
      starts_(order) {
  StartOver();
}

void planner_core::Decide(std::span<planner_event> events, millis now, millis wall_now,
                          std::vector<planner_action>& actions) {
  out_ = &actions;
  for (auto& event : events) {
    std::visit([&](auto& e) { On(e, now); }, event);
    if (term_.holding() != was_holding_) term_.holding() ? BeginTerm(now) : EndTerm();
  }
  if (auto call = term_.Next(now)) {
    call->token = -1;  // the journal's tokens are positive
    out_->emplace_back(std::move(*call));
  }
  if (term_.holding()) {
    TakeWritten();
    Plan(now, wall_now);
    if (auto request = lost_.Next(now)) out_->emplace_back(*request);
    if (book_->TakeFinished()) journal_.Hurry();
    std::vector<send_to_peer> orders;
    orders_->Take(term_.fence(), term_.TermValid(now), orders);
    for (auto& order : orders) out_->emplace_back(std::move(order));
    std::vector<store_request> calls;
    journal_.Next(*book_, pool_, now, calls);
    for (auto& call : calls) out_->emplace_back(std::move(call));
  }
  Notify(now);
  out_ = nullptr;
}

void planner_core::On(store_reply& event, millis now) {
  if (event.token < 0) {
    term_.On(event, now);
  } else {
    journal_.On(event, *book_, pool_, now);
  }
}

void planner_core::On(peer_up& event, millis now) {
  if (event.peer.role == peer_role::kEntry) {
    entries_[event.peer.id] = event.peer.address;
    lost_entries_.erase(event.peer.id);
    term_.OnConnected(event.peer.id, now);
  } else {
    agents_.insert(event.peer.id);
  }
  if (term_.holding()) {
    out_->emplace_back(send_to_peer{event.peer.id, Notice(now)});
  } else if (event.peer.role != peer_role::kEntry && heard_.term > 0) {
    out_->emplace_back(send_to_peer{event.peer.id, heard_});
  }
}

void planner_core::On(peer_refused& event, millis now) {
  for (const auto& [id, address] : lost_entries_) {
    if (address == event.address) term_.OnProcessEnded(id, now);
  }
}

void planner_core::On(peer_down& event, millis now) {
  if (const auto entry = entries_.find(event.peer); entry != entries_.end()) {
    lost_entries_[entry->first] = entry->second;
    entries_.erase(entry);
  }
  agents_.erase(event.peer);
  term_.OnDisconnected(event.peer, now);
  tracker_->OnAgentLost(event.peer);
}

void planner_core::On(peer_said& event, millis now) {
  if (auto* report = std::get_if<worker_report>(&event.message)) {
    TakeReport(event.peer, *report, now);
  } else if (const auto* notice = std::get_if<planner_notice>(&event.message)) {
    term_.OnNotice(event.peer, *notice, now);
    PassOn(*notice);
  } else if (const auto* inquiry = std::get_if<job_inquiry>(&event.message)) {
    Answer(event.peer, *inquiry, now);
  } else if (const auto* news = std::get_if<job_accepted>(&event.message)) {
    OnAccepted(*news, now);
  }
}

/** Agents may not know the planner's address yet: every entry tells them. */
void planner_core::PassOn(const planner_notice& notice) {
  if (notice.term < heard_.term) return;
  const bool same = notice.term == heard_.term && notice.planner == heard_.planner &&
                    notice.entries == heard_.entries;
  heard_ = notice;
  if (same) return;
  for (const auto& id : agents_) out_->emplace_back(send_to_peer{id, notice});
}

void planner_core::On(advice_reply& event, millis now) {
  advice_.On(event, now);
  planned_changes_ = -1;
}

void planner_core::On(vm_listing& event, millis now) {
  const std::vector<std::string> gone = lost_.On(event);
  if (term_.holding()) Forget(gone, "its VM is down", now);
}

void planner_core::On(own_said& event, millis now) {
  if (const auto* inquiry = std::get_if<job_inquiry>(&event.message)) Answer("", *inquiry, now);
  if (const auto* news = std::get_if<job_accepted>(&event.message)) OnAccepted(*news, now);
}

void planner_core::OnAccepted(const job_accepted& news, millis now) {
  if (!term_.holding()) return;
  const row accepted{{std::string(kJobsTable), "", news.job}, news.record, news.revision, false};
  journal_.OnAccepted(accepted, *book_, now);
}

void planner_core::On(operators_say& event, millis) {
  operators_ = std::move(event.state);
  operators_confirmed_ = event.confirmed;
  term_.OnStoreContact(event.confirmed);
  planned_changes_ = -1;
}

void planner_core::On(planner_drain&, millis) {
  if (term_.holding()) journal_.HandOver();
}

/** Forgets all that belongs to one term. */
void planner_core::StartOver() {
  if (tracker_ != nullptr) given_up_before_ += tracker_->given_up();
  planning_ = false;
  journal_.Reset();
  pool_ = worker_pool{};
  book_ = std::make_unique<job_book>(options_.early);
  tracker_ = std::make_unique<run_tracker>(options_.tracking, *book_, pool_, speeds_);
  orders_ = std::make_unique<order_writer>(options_.tracking.grant, *book_, pool_);
}

void planner_core::BeginTerm(millis now) {
  was_holding_ = true;
  term_began_ = now;
  forgotten_ = millis(INT64_MIN / 4);
  StartOver();
  tracker_->Begin(term_.fence());
  early_reports_.clear();
  reported_.clear();
  advice_.Reset();
  lost_.BeginTerm(now);
}

void planner_core::EndTerm() {
  was_holding_ = false;
  StartOver();
  for (const auto& [job, askers] : cancels_) {
    for (const auto& [asker, id] : askers) Reply(asker, {id, inquiry_outcome::kNotPlanner});
  }
  cancels_.clear();
}

void planner_core::TakeReport(const std::string& agent, worker_report& report, millis now) {
  if (!term_.holding()) return;
  if (report.term > term_.fence()) return term_.StepDown("an agent has a higher term", now);
  reported_[agent] = now;
  if (!journal_.loaded()) {
    early_reports_[{agent, report.worker.self.id}] = std::move(report);
    return;
  }
  static const batch_config kNoConfig;
  const batch_config& config = operators_.config == nullptr ? kNoConfig : *operators_.config;
  const bool lists = tracker_->On(agent, report, config, now);
  const pool_worker* worker = pool_.Find(report.worker.self.id);
  if (lists && worker != nullptr) {
    journal_.Heard(report.worker.self.id);
    lost_.OnWorkerReported(report.worker.self.id);
    Forget(lost_.ReplacedBy(*worker), "another worker has its address", now);
  }
  if (worker != nullptr && !worker->recorded && !worker->recording) journal_.Hurry();
}

/** Nothing can run at these workers any more. */
void planner_core::Forget(std::span<const std::string> workers, std::string_view reason,
                          millis now) {
  for (const auto& id : workers) {
    tracker_->Drop(id, reason, now);
    if (journal_.expected().contains(id)) forgotten_ = now;
    journal_.Forget(id);
  }
}

void planner_core::Answer(const std::string& asker, const job_inquiry& inquiry, millis now) {
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
  const tracked_job* job = book_->Find(inquiry.job);
  if (job == nullptr || job->job.queue != inquiry.queue) {
    const bool certain = now - journal_.followed() < kListAge;
    reply.outcome = certain ? inquiry_outcome::kNoSuchJob : inquiry_outcome::kUnavailable;
    return Reply(asker, reply);
  }
  if (inquiry.question == job_question::kState) {
    // A final state is shown once it is stored.
    reply.state = job->stored ? job->state : batch_state::kRunning;
    return Reply(asker, reply);
  }
  book_->Cancel(inquiry.job);
  reply.state = job->state;
  if (job->stored) return Reply(asker, reply);
  journal_.Hurry();
  cancels_[inquiry.job].emplace_back(asker, inquiry.id);
}

void planner_core::Reply(const std::string& asker, const job_reply& reply) {
  if (asker.empty()) {
    out_->emplace_back(tell_gateway{reply});
  } else {
    out_->emplace_back(send_to_peer{asker, reply});
  }
}

int64_t planner_core::CountWaiting(std::string_view queue) const {
  int64_t waiting = 0;
  for (const auto& id : book_->open()) {
    const tracked_job* job = book_->Find(id);
    if (job->job.queue == queue && !job->begun) ++waiting;
  }
  return waiting;
}

planner_load planner_core::stats() const {
  planner_load stats;
  stats.planning = planning_;
  stats.runs_given_up = given_up_before_ + tracker_->given_up();
  if (!term_.holding()) return stats;
  stats.term = term_.fence();
  stats.open_jobs = static_cast<int64_t>(book_->open().size());
  for (const auto& id : book_->open()) stats.waiting_jobs += book_->Find(id)->begun ? 0 : 1;
  stats.workers = static_cast<int64_t>(pool_.all().size());
  for (const auto& [id, worker] : pool_.all()) {
    stats.runs += static_cast<int64_t>(worker.runs.size());
  }
  return stats;
}

void planner_core::TakeWritten() {
  const auto written = journal_.TakeWritten();
  if (!written) return;
  for (const auto& [id, state] : written->jobs) {
    book_->OnStored(id, state);
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
  for (const auto& [id, number] : written->ends) {
    pool_worker* worker = pool_.Find(id);
    if (worker == nullptr) continue;
    worker->ends_stored = std::max(worker->ends_stored, number);
    worker->order_due = true;
  }
  for (const auto& record : written->workers) {
    pool_worker* worker = pool_.Find(record.id);
    // A life that began, or an address that changed, while the row was written is not in it.
    const bool same = worker != nullptr && worker->profile.self.born_ms == record.born_ms &&
                      worker->profile.address == record.address;
    if (same) worker->recorded = true;
  }
  planned_changes_ = -1;
}

/** Whether the term was certainly held after a past time; if not, has it confirmed. */
bool planner_core::HeldAfter(millis past) {
  if (term_.confirmed() > past) return true;
  journal_.ConfirmAfter(past);
  return false;
}

/**
 * Whether the leases that earlier planners may have granted lapsed while this one held the term:
 * a later one may prolong them.
 */
bool planner_core::EarlierLeasesOver(millis now) {
  const millis over = term_began_ + kTermValidity + LeaseBound(options_.tracking.grant);
  return now > over && HeldAfter(over);
}

/** Whether all runs of earlier terms are known or over. */
bool planner_core::Recovered(millis now) {
  if (planning_) return true;
  if (!journal_.loaded()) return false;
  if (!early_reports_.empty()) {
    auto reports = std::move(early_reports_);
    early_reports_.clear();
    for (auto& [source, report] : reports) TakeReport(source.first, report, now);
  }
  if (!journal_.expected().empty() && !EarlierLeasesOver(now)) return false;
  // A later planner may have heard how the runs at a forgotten worker ended.
  if (!HeldAfter(forgotten_)) return false;
  planning_ = true;
  log_event("planning-begins")
      .With("term", term_.fence())
      .With("after_ms", (now - term_began_).count())
      .With("unheard_workers", static_cast<int64_t>(journal_.expected().size()));
  while (!journal_.expected().empty()) {
    journal_.Forget(std::string(journal_.expected().begin()->first));
  }
  return true;
}

void planner_core::Plan(millis now, millis wall_now) {
  const bool recovered = Recovered(now);
  if (!journal_.loaded()) return;
  tracker_->CompleteJobs(recovered);
  if (operators_.config == nullptr) return;
  book_->Release(now, wall_now);
  if (const auto end = tracker_->Tick(now, term_.confirmed())) journal_.ConfirmAfter(*end);
  Forget(lost_.Unreported(now, term_.confirmed()), "gone", now);
  const bool informed = now - operators_confirmed_ < kOperatorsAge;
  if (!term_.TermValid(now) || !informed || journal_.handed_over()) return;
  const int64_t changes = tracker_->changes() + static_cast<int64_t>(book_->all().size());
  if (changes == planned_changes_ && now < next_plan_) return;
  planned_changes_ = changes;
  next_plan_ = now + kPlanInterval;
  if (recovered) speeds_.Retain(pool_);
  const planning_view view{*book_,
                           pool_,
                           *operators_.config,
                           operators_.evacuated,
                           speeds_,
                           &advice_,
                           now,
                           recovered ? 0 : term_.fence(),
                           term_.confirmed()};
  tracker_->Apply(starts_.Plan(view), now);
  if (auto request = advice_.Next(view)) out_->emplace_back(std::move(*request));
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

/** Tells everybody when what they should know has changed. */
void planner_core::Notify(millis now) {
  if (!term_.holding()) return;
  const planner_notice notice = Notice(now);
  const bool same = notice.term == told_.term && notice.planner == told_.planner &&
                    notice.store_lost == told_.store_lost && notice.entries == told_.entries;
  if (same) return RepeatNotice(notice, now);
  told_ = notice;
  next_repeat_ = now + kRepeat;
  out_->emplace_back(tell_gateway{notice});
  for (const auto& [id, address] : entries_) out_->emplace_back(send_to_peer{id, notice});
  for (const auto& id : agents_) out_->emplace_back(send_to_peer{id, notice});
}

/** A notice may be lost with the connection that carried it. */
void planner_core::RepeatNotice(const planner_notice& notice, millis now) {
  if (now < next_repeat_) return;
  next_repeat_ = now + kRepeat;
  for (const auto& [id, address] : entries_) out_->emplace_back(send_to_peer{id, notice});
  for (const auto& id : agents_) {
    const auto heard = reported_.find(id);
    const bool silent = heard == reported_.end() || now - heard->second > kHeardOf;
    if (silent) out_->emplace_back(send_to_peer{id, notice});
  }
}

}  // namespace eelgrass
