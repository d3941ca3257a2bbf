#include "kernel/batch/run_tracker.h"

#include <algorithm>

#include "kernel/advice/ticket_cache.h"
#include "kernel/base/log_event.h"
#include "kernel/batch/order_writer.h"
#include "kernel/batch/term_election.h"

namespace eelgrass {
namespace {

/** Run numbers per term. A term is a revision of the store, so that the product is below 2^53. */
constexpr int64_t kRunsPerTerm = 100000;

/** A worker that has departed ends its runs within this time. */
constexpr millis kDepartureGrace{700};

/** An ordered run that has not begun within this time is stopped. */
constexpr millis kStartTimeout{2000};

/** A held run whose ticket has expired gives its room up if no other comes within this time. */
constexpr millis kMaxTicketRenewal{20000};

/** After this many consecutive failures of different units, a worker gets no starts for a while. */
constexpr int kFailuresToAvoid = 3;
constexpr millis kAvoidTime{6000};

/** Greatest error of a rate from which the work of a run is concluded. */
constexpr double kMaxWorkError = 0.05;

/** Outcomes kept until the planner takes them, which it does with each plan. */
constexpr size_t kMaxOutcomes = 10000;

/** Where speeds differ by more, the work of a run is only known on a worker of known speed. */
constexpr double kUnevenSpeeds = 1.15;

/** Delay before a unit is tried again after a worker refused to start it. */
constexpr millis kRefusalPause{200};

}  // namespace

run_tracker::run_tracker(tracker_options options, job_table& jobs, worker_pool& pool,
                         worker_speeds& speeds, ticket_cache* tickets)
    : options_(options),
      jobs_(jobs),
      pool_(pool),
      speeds_(speeds),
      tickets_(tickets),
      closer_(jobs, pool) {}

void run_tracker::Begin(int64_t term) {
  term_ = term;
  runs_begun_ = 0;
  incarnations_.Reset();
  closer_.Begin(term);
}

int64_t run_tracker::NextRun() { return term_ * kRunsPerTerm + ++runs_begun_; }

bool run_tracker::On(std::string_view agent, const worker_report& report,
                     const batch_config& config, millis now) {
  const worker_identity& self = report.worker.self;
  if (report.term > term_) return false;
  pool_worker* known = pool_.Find(self.id);
  if (!report.present) {
    pool_.starts().Report(agent, report.worker, report.unanswered, now);
    if (known != nullptr && known->profile.self == self && report.term == term_) {
      known->listing = known->more_ends = false;
      known->lease_end = std::min(known->lease_end, now + kDepartureGrace);
      log_event("worker-gone")
          .With("worker", self.id)
          .With("born", self.born_ms)
          .With("term", term_)
          .With("runs", static_cast<int64_t>(known->runs.size()));
    }
    return false;
  }
  pool_worker& worker = pool_.Get(self.id);
  if (report.sequence <= worker.report_sequence && worker.agent == agent && worker.linked) {
    return false;
  }
  if (!(worker.profile.self == self)) {
    // Start times are wall times, which do not order incarnations: clocks may be set back. A report
    // with lists comes from an incarnation that answers.
    const bool listed_in_term = report.listed && report.term == term_;
    if (!worker.profile.self.id.empty() && !listed_in_term) return false;
    BeginIncarnation(worker, report, agent, now);
  }
  if (report.term == term_ && report.life > worker.incarnation) {
    worker.incarnation = report.life;
    incarnations_.Raise(self, report.life);
  }
  const bool was_usable = worker.listing && !worker.profile.draining;
  NoteRunsAgain(report, now);
  pool_.starts().Report(agent, report.worker, report.unanswered, now);
  worker.agent = agent;
  worker.linked = true;
  worker.report_sequence = report.sequence;
  worker.reported = now;
  // The stored record has the worker's address, by which the next planner detects a replacement.
  if (worker.profile.address != report.worker.address) worker.recorded = worker.recording = false;
  worker.profile = report.worker;
  const bool leaving = report.worker.draining && report.worker.remaining_ms >= 0;
  worker.leaves_at = leaving ? now + millis(report.worker.remaining_ms) : millis(0);
  worker.listing = report.listed && report.term == term_ && report.life == worker.incarnation;
  worker.order_due = true;
  worker.more_ends = worker.listing && report.more_ends;
  if (!worker.listing) return false;
  pool_.starts().OnListed(worker.profile);
  pool_.starts().Settle(agent, report, now);
  if (!was_usable) ++changes_;
  ApplyEnds(worker, report, config, now);
  ApplyRunning(worker, report, now);
  ApplyRefused(worker, report, now);
  if (!worker.more_ends) {
    StopUnlisted(worker, report, now);
    closer_.GiveUpFormerIncarnation(worker, report, now);
  }
  return true;
}

/**
 * Orders to a former incarnation may still be executed by the new one until it has confirmed its
 * own fence. The runs are therefore kept until a report under that fence lists them or omits them.
 */
void run_tracker::BeginIncarnation(pool_worker& worker, const worker_report& report,
                                   std::string_view agent, millis now) {
  const int64_t born_before = worker.profile.self.born_ms;
  const int64_t reported_ago = born_before == 0 ? -1 : (now - worker.reported).count();
  std::map<run_ref, run_record> runs = std::move(worker.runs);
  for (auto& [ref, record] : runs) {
    record.former_incarnation = true;
    record.phase = run_phase::kStopping;
    record.since = now;
  }
  worker = pool_worker{};
  worker.runs = std::move(runs);
  worker.profile = report.worker;
  worker.incarnation = incarnations_.Of(report.worker.self);
  worker.agent = agent;
  worker.known_since = now;
  // An earlier planner may have granted a lease that is unknown here.
  worker.lease_end = now + kTermValidity + LeaseBound(options_.grant);
  ++changes_;
  log_event("worker-incarnation-started")
      .With("worker", report.worker.self.id)
      .With("born", report.worker.self.born_ms)
      .With("previous_born", born_before)
      .With("life", worker.incarnation)
      .With("previous_runs", static_cast<int64_t>(worker.runs.size()))
      .With("reported_ago_ms", reported_ago)
      .With("listed", report.listed ? 1 : 0)
      .With("term", term_)
      .With("agent", agent)
      .With("domain", report.worker.domain)
      .With("rack", report.worker.rack)
      .With("accelerators", report.worker.capacity.accelerators)
      .With("at", now.count());
}

void run_tracker::OnAgentDisconnected(std::string_view agent) {
  pool_.starts().OnAgentDisconnected(agent);
  for (auto& [id, worker] : pool_.all()) {
    if (worker.agent != agent) continue;
    worker.linked = false;
    worker.listing = worker.more_ends = false;
  }
}

void run_tracker::Drop(std::string_view id, std::string_view reason, millis now) {
  pool_worker* worker = pool_.Find(id);
  if (worker == nullptr) return;
  closer_.GiveUpAll(*worker, reason, now);
  log_event("worker-forgotten").With("worker", id).With("reason", reason);
  pool_.Erase(id);
}

/** A start that was still open has been carried out though its unit was done, and has ended. */
void run_tracker::NoteRunsAgain(const worker_report& report, millis now) {
  for (const auto& end : report.ended) {
    task_ref task;
    if (!ParseTask(end.task, task)) continue;
    const batch_step* step = jobs_.StepOf({task.job, task.occurrence, task.step, 0});
    unit_state* unit = step == nullptr ? nullptr : jobs_.Find(UnitOf(task, *step));
    if (unit == nullptr || !unit->done || end.run == unit->done_run) continue;
    const bool late = pool_.starts().IsOpen(report.worker.self.id, end.task, now);
    unit->ran_again = unit->ran_again || late;
  }
}

void run_tracker::ApplyEnds(pool_worker& worker, const worker_report& report,
                            const batch_config& config, millis now) {
  for (const auto& end : report.ended) {
    if (end.number <= worker.ends_applied) continue;
    worker.ends_applied = end.number;
    ApplyEnd(worker, end, end.number <= report.lapsed_upto, config, now);
  }
}

void run_tracker::ApplyEnd(pool_worker& worker, const listed_end& end, bool lapsed,
                           const batch_config& config, millis now) {
  const run_ref ref{end.task, end.run};
  const auto record = worker.runs.find(ref);
  task_ref task;
  if (!ParseTask(end.task, task)) return;
  const tracked_job* job = jobs_.Find(task.job);
  const bool known = record != worker.runs.end();
  log_event("run-ended")
      .With("task", end.task)
      .With("run", end.run)
      .With("how", RunEndName(end.how))
      .With("worker", worker.profile.self.id)
      .With("number", end.number)
      .With("ran_ms", known ? (now - record->second.began.value_or(now)).count() : -1)
      .With("known", known ? 1 : 0);
  if (job == nullptr || static_cast<size_t>(task.step) >= job->job.steps.size()) {
    if (known) closer_.Close(worker, ref);
    return;
  }
  const batch_step& step = job->job.steps[static_cast<size_t>(task.step)];
  const unit_ref unit = UnitOf(task, step);
  unit_state* state = jobs_.Find(unit);
  if (state == nullptr) return;
  // A run that was given up because its lease had expired no longer counts. A run that an earlier
  // planner started counts, even if its successor is already known.
  const bool counts = known || end.run > state->given_up_run;
  const bool latest = known || end.run == state->run || state->open_runs == 0;
  const bool replaceable = lapsed && !known;
  // A successful end counts whichever run reports it, so that the work is not repeated.
  if (!step.long_running && end.how == run_end::kDone) {
    RecordOutcome(worker, task.job, true, now);
    if (known) LearnSpeed(worker, record->second, step, now);
    jobs_.OnDone(unit, end.run, now);
    if (replaceable) jobs_.Find(task.job)->unsettled = true;
    worker.counted_ends.emplace(end.number, counted_end{unit, !known});
  }
  if (counts && end.how == run_end::kFailed) {
    const batch_queue* queue = config.FindQueueByName(job->job.queue);
    RecordOutcome(worker, task.job, false, now);
    jobs_.OnFailed(unit, end.run, queue == nullptr ? INT32_MAX : queue->attempts,
                   worker.profile.self.id);
    if (job->state == batch_state::kFailed) {
      worker.counted_ends.emplace(end.number, counted_end{unit, !known});
    }
  }
  if (latest && !end.saved.empty()) jobs_.OnSaved(unit, end.saved);
  if (known) closer_.Close(worker, ref);
  // When one member ends, the whole gang ends.
  if (step.gang && state->open_runs > 0 && latest) {
    Stop(unit, "a member of the gang has ended", now);
  }
  ++changes_;
}

/** Records the duration of a run that did all of its unit's work at full speed. */
void run_tracker::LearnSpeed(const pool_worker& worker, const run_record& record,
                             const batch_step& step, millis now) {
  const bool near = step.data_rack.empty() || step.data_rack == worker.profile.rack;
  const bool comparable = record.full_run && record.began && near && !step.fills;
  step_state* state = jobs_.FindStep(record.unit);
  if (!comparable || step.gang || worker.profile.cold_ms > 0 || state == nullptr) return;
  speeds_.Learn(worker.profile.self.id, *state, step.estimate, now - *record.began);
}

/** Counts consecutive failures, which distinguish a faulty worker from a job that cannot run. */
void run_tracker::RecordOutcome(pool_worker& worker, std::string_view job, bool success,
                                millis now) {
  if (outcomes_.size() < kMaxOutcomes) {
    outcomes_.push_back({worker.profile.self.id, std::string(job), !success});
  }
  worker.failures_in_row = success ? 0 : worker.failures_in_row + 1;
  if (worker.failures_in_row < kFailuresToAvoid) return;
  worker.avoid_until = now + kAvoidTime;
  worker.failures_in_row = kFailuresToAvoid - 1;  // one more failure after the pause is enough
  log_event("worker-avoided")
      .With("worker", worker.profile.self.id)
      .With("for_ms", kAvoidTime.count());
}

void run_tracker::ApplyRunning(pool_worker& worker, const worker_report& report, millis now) {
  for (const auto& listed : report.running) {
    const run_ref ref{listed.task, listed.run};
    auto found = worker.runs.find(ref);
    if (found == worker.runs.end()) {
      if (!Adopt(worker, listed, now)) continue;
      found = worker.runs.find(ref);
    }
    run_record& record = found->second;
    if (!record.began) {
      record.began = now - millis(listed.ran_ms);
      jobs_.OnBegun(record.unit);
    }
    if (record.phase == run_phase::kOrdered) {
      record.phase = run_phase::kRunning;
      record.since = now;
    }
    if (!listed.saved.empty() && listed.saved != record.saved) {
      record.saved = listed.saved;
      jobs_.OnSaved(record.unit, listed.saved);
    }
    ObserveProgress(worker, record, listed.percent, now - millis(report.listed_ago_ms), now);
  }
}

/** Follows the progress of a run, which shows the speed of its worker. */
void run_tracker::ObserveProgress(const pool_worker& worker, run_record& record, int64_t percent,
                                  millis at, millis now) {
  const batch_step* step = jobs_.StepOf(record.unit);
  if (step == nullptr || step->long_running || record.phase != run_phase::kRunning) return;
  record.progress.Observe(percent, at);
  const auto rate = record.progress.rate();
  const auto per_second = rate ? std::optional(rate->percent_per_second) : std::nullopt;
  record.listing.Observe(percent, at, per_second, now);
  const bool near = step->data_rack.empty() || step->data_rack == worker.profile.rack;
  if (!rate || !near || step->fills || worker.profile.cold_ms > 0) return;
  speeds_.ObserveRate(worker.profile, *step, record.unit, {record.task, record.run}, *rate, at);
  if (record.remote || record.work_known || rate->error > kMaxWorkError) return;
  const worker_speed speed = speeds_.SpeedOf(worker.profile);
  if (!speed.known && speeds_.greatest_slowdown() > kUnevenSpeeds) return;
  record.work_known = true;
  jobs_.OnWorkMeasured(record.unit, rate->whole_ms() / speed.slowdown);
}

/**
 * Adds a listed run that an earlier planner ordered. It continues if its unit has no other open
 * run or it belongs to the same gang run; otherwise it is stopped.
 */
bool run_tracker::Adopt(pool_worker& worker, const listed_run& listed, millis now) {
  task_ref task;
  if (!ParseTask(listed.task, task)) return false;
  run_record record;
  record.task = listed.task;
  record.run = listed.run;
  record.since = now;
  record.phase = run_phase::kStopping;
  const batch_step* step = jobs_.StepOf({task.job, task.occurrence, task.step, 0});
  if (step != nullptr) {
    record.unit = UnitOf(task, *step);
    record.each = ResourcesPerTask(*step);
    record.remote = step->same_rack;  // the other members may be in another rack
    unit_state* unit = jobs_.Find(record.unit);
    const tracked_job* job = jobs_.Find(task.job);
    if (unit == nullptr || job == nullptr) return false;
    if (unit->done && listed.run != unit->done_run) unit->ran_again = true;
    const bool free = unit->open_runs == 0;
    const bool same_gang_run = step->gang && unit->open_runs > 0 && unit->run == listed.run;
    if (!unit->done && !IsFinal(job->state) && (free || same_gang_run)) {
      record.phase = run_phase::kRunning;
      unit->run = listed.run;
    }
    ++unit->open_runs;
  } else {
    record.unit = {task.job, task.occurrence, -1, 0};
  }
  log_event("run-adopted")
      .With("task", listed.task)
      .With("run", listed.run)
      .With("worker", worker.profile.self.id)
      .With("continues", record.phase == run_phase::kRunning ? 1 : 0);
  worker.runs.emplace(run_ref{listed.task, listed.run}, std::move(record));
  return true;
}

void run_tracker::ApplyRefused(pool_worker& worker, const worker_report& report, millis now) {
  for (const auto& refused : report.refused) {
    const run_ref ref{refused.task, refused.run};
    worker.forget.push_back(ref);
    const auto found = worker.runs.find(ref);
    if (found == worker.runs.end()) continue;
    const unit_ref unit = found->second.unit;
    log_event("start-refusal-reported")
        .With("task", refused.task)
        .With("run", refused.run)
        .With("worker", worker.profile.self.id)
        .With("reason", StartRefusalName(refused.reason));
    closer_.Close(worker, ref);
    if (refused.reason == start_refusal::kTicket && tickets_ != nullptr) {
      tickets_->Discard(unit, worker.profile.self.id);
    }
    if (unit_state* state = jobs_.Find(unit)) {
      state->not_before = now + kRefusalPause;
      if (refused.reason == start_refusal::kUnhealthy) RecordOutcome(worker, unit.job, false, now);
      if (state->open_runs > 0) Stop(unit, "a member of the gang could not start", now);
    }
    ++changes_;
  }
}

/**
 * Stops runs that began and that the worker lists neither as running nor as ended, which should not
 * happen. The stop also makes the worker reject the run, before its unit may start elsewhere.
 */
void run_tracker::StopUnlisted(pool_worker& worker, const worker_report& report, millis now) {
  for (auto& [ref, record] : worker.runs) {
    if (!record.began || record.phase == run_phase::kStopping) continue;
    if (Contains(report.running, ref)) continue;
    log_event("run-unlisted", log_level::kWarning)
        .With("task", ref.task)
        .With("run", ref.run)
        .With("worker", worker.profile.self.id);
    record.phase = run_phase::kStopping;
    record.since = now;
  }
}

/** Whether all these workers are in the same rack. */
bool run_tracker::InOneRack(std::span<const std::string> workers) const {
  const pool_worker* first = workers.empty() ? nullptr : pool_.Find(workers.front());
  return first != nullptr && std::all_of(workers.begin(), workers.end(), [&](const auto& id) {
           const pool_worker* worker = pool_.Find(id);
           return worker != nullptr && worker->profile.rack == first->profile.rack;
         });
}

void run_tracker::Apply(const start_plan& plan, millis now) {
  for (const auto& unit : plan.preempted) {
    if (unit_state* state = jobs_.Find(unit)) ++state->preemptions;
    Stop(unit, "preempted", now);
  }
  for (const auto& unit : plan.moved) Stop(unit, "its worker leaves before the run can end", now);
  for (const auto& start : plan.starts) {
    const batch_step* step = jobs_.StepOf(start.unit);
    unit_state* unit = jobs_.Find(start.unit);
    if (step == nullptr || unit == nullptr) continue;
    unit->run = NextRun();
    const bool over_racks = step->same_rack && !InOneRack(start.workers);
    for (size_t i = 0; i < start.workers.size(); ++i) {
      pool_worker* worker = pool_.Find(start.workers[i]);
      if (worker == nullptr) continue;
      run_record record;
      record.unit = start.unit;
      record.task = ToText(MemberOf(start.unit, *step, static_cast<int>(i)));
      record.run = unit->run;
      record.each = ResourcesPerTask(*step);
      record.since = record.placed = now;
      record.saved = unit->saved;
      record.full_run = unit->saved.empty();
      record.remote = over_racks;
      if (i < start.tickets.size()) record.ticket = start.tickets[i];
      const worker_speed speed = speeds_.SpeedOf(worker->profile);
      record.slowdown = speed.slowdown;
      log_event("run-placed")
          .With("task", record.task)
          .With("run", record.run)
          .With("worker", start.workers[i])
          .With("slowdown_percent", speed.known ? static_cast<int64_t>(speed.slowdown * 100) : -1)
          .With("saved", record.saved)
          .With("waited_ms", (now - unit->ready_since).count());
      ++unit->open_runs;
      const run_ref ref{record.task, record.run};
      pool_.starts().Order(worker->profile, worker->agent, ref, now);
      worker->runs.emplace(ref, std::move(record));
    }
  }
  ReleaseHeld(now);
}

/** Orders the held units that are known elsewhere and all of whose members fit on their workers. */
void run_tracker::ReleaseHeld(millis now) {
  std::map<unit_ref, held_members> held;
  std::set<unit_ref> unknown;
  for (auto& [id, worker] : pool_.all()) {
    for (auto& [ref, record] : worker.runs) {
      if (record.phase != run_phase::kHeld) continue;
      held[record.unit].emplace_back(&worker, &record);
      const bool known = !options_.announce_starts ||
                         pool_.starts().Confirm(worker.profile, worker.agent, ref, now);
      if (!known) unknown.insert(record.unit);
    }
  }
  for (const auto& unit : unknown) held.erase(unit);
  for (auto& [unit, members] : held) {
    std::map<pool_worker*, amounts> need;
    for (auto& [worker, record] : members) need[worker] += record->each;
    const bool fits = std::all_of(need.begin(), need.end(), [](const auto& entry) {
      return entry.second.Fits(entry.first->PresentCapacity());
    });
    if (!fits || !RenewTickets(members, now)) continue;
    for (auto& [worker, record] : members) {
      record->phase = run_phase::kOrdered;
      record->since = now;
      worker->order_due = true;
    }
  }
}

/** Gives the members of a unit valid tickets. Returns false if one of them has expired. */
bool run_tracker::RenewTickets(held_members& members, millis now) const {
  if (tickets_ == nullptr) return true;
  for (auto& [worker, record] : members) {
    if (record->ticket.empty()) continue;
    const std::string* ticket = tickets_->Ticket(record->unit, worker->profile.self, now);
    if (ticket == nullptr) return false;
    record->ticket = *ticket;
  }
  return true;
}

void run_tracker::Stop(const unit_ref& unit, std::string_view reason, millis now) {
  for (auto& [id, worker] : pool_.all()) {
    std::vector<run_ref> unbegun;
    for (auto& [ref, record] : worker.runs) {
      if (!(record.unit == unit) || record.phase == run_phase::kStopping) continue;
      if (record.phase == run_phase::kHeld) {
        unbegun.push_back(ref);
        continue;
      }
      record.phase = run_phase::kStopping;
      record.since = now;
      worker.order_due = true;
      log_event("run-stopping")
          .With("task", ref.task)
          .With("run", ref.run)
          .With("worker", id)
          .With("reason", reason);
    }
    for (const auto& ref : unbegun) closer_.Close(worker, ref);
  }
}

/** Whether a held run has no valid ticket and does not get one in time. */
bool run_tracker::TicketLost(const pool_worker& worker, const run_record& record,
                             millis now) const {
  if (tickets_ == nullptr || record.phase != run_phase::kHeld || record.ticket.empty()) {
    return false;
  }
  if (tickets_->Ticket(record.unit, worker.profile.self, now) != nullptr) return false;
  return !tickets_->Answers(now) || now - record.since > kMaxTicketRenewal;
}

/** Stops units of which a member has not begun, or has not got a ticket again, in time. */
void run_tracker::StopOverdue(millis now) {
  std::set<unit_ref> overdue;
  std::set<unit_ref> without_ticket;
  for (auto& [id, worker] : pool_.all()) {
    for (auto& [ref, record] : worker.runs) {
      const bool late = record.phase == run_phase::kOrdered && now - record.since > kStartTimeout;
      if (late) overdue.insert(record.unit);
      if (TicketLost(worker, record, now)) without_ticket.insert(record.unit);
    }
  }
  for (const auto& unit : overdue) Stop(unit, "the run did not begin in time", now);
  for (const auto& unit : without_ticket) Stop(unit, "its tickets were not renewed in time", now);
}

/** Whether a job has an open run other than the successful run of its unit. */
bool run_tracker::HasOtherRuns(std::string_view job) const {
  for (const auto& [id, worker] : pool_.all()) {
    for (const auto& [ref, record] : worker.runs) {
      if (record.unit.job != job) continue;
      const unit_state* unit = jobs_.Find(record.unit);
      if (unit != nullptr && unit->done_run != ref.run) return true;
    }
  }
  return false;
}

void run_tracker::CompleteJobs(bool recovered) {
  std::vector<std::string> over;
  for (const auto& [id, stored] : jobs_.done()) {
    const bool settled = recovered || (!stored && !jobs_.Find(id)->unsettled);
    if (settled && !HasOtherRuns(id)) over.push_back(id);
  }
  for (const auto& id : over) jobs_.Complete(id);
}

/**
 * An end that is released although its unit has run again would show that the unit ran after it had
 * ended. One that is not released is forgotten with its worker.
 */
bool run_tracker::MayRelease(const counted_end& end, bool runs_known, millis now) const {
  const unit_state* unit = jobs_.Find(end.unit);
  const batch_step* step = jobs_.StepOf(end.unit);
  if (unit == nullptr || step == nullptr) return true;
  if (unit->ran_again || (end.until_recovered && !runs_known)) return false;
  return pool_.starts().Of(end.unit, *step, now).empty();
}

/**
 * Ends are numbered anew in each incarnation. An incarnation that started while the write was
 * pending, or a worker that was removed and is listed again, has none of these ends applied yet.
 */
void run_tracker::OnEndsStored(std::span<const stored_ends> ends) {
  for (const auto& stored : ends) {
    pool_worker* worker = pool_.Find(stored.worker.id);
    if (worker == nullptr || !(worker->profile.self == stored.worker)) continue;
    const int64_t number = std::min(stored.number, worker->ends_applied);
    worker->ends_stored = std::max(worker->ends_stored, number);
    worker->order_due = true;
  }
}

void run_tracker::ReleaseEnds(bool runs_known, millis now) {
  for (auto& [id, worker] : pool_.all()) {
    const int64_t before = worker.ends_released;
    auto& ends = worker.counted_ends;
    while (!ends.empty() && ends.begin()->first <= worker.ends_stored &&
           MayRelease(ends.begin()->second, runs_known, now)) {
      ends.erase(ends.begin());
    }
    const bool withheld = !ends.empty() && ends.begin()->first <= worker.ends_stored;
    worker.ends_released = withheld ? ends.begin()->first - 1 : worker.ends_stored;
    if (worker.ends_released != before) worker.order_due = true;
    if (!withheld || ends.begin()->second.withheld) continue;
    ends.begin()->second.withheld = true;
    const counted_end& end = ends.begin()->second;
    log_event("end-withheld")
        .With("worker", id)
        .With("number", ends.begin()->first)
        .With("job", end.unit.job)
        .With("step", end.unit.step)
        .With("unit", end.unit.unit)
        .With("recovered", runs_known ? 1 : 0)
        .With("open_at", OpenAt(end.unit, now));
  }
}

/** The workers that may still start a task of the unit, for logs. */
std::string run_tracker::OpenAt(const unit_ref& unit, millis now) const {
  std::string text;
  const batch_step* step = jobs_.StepOf(unit);
  if (step == nullptr) return text;
  for (const auto& start : pool_.starts().Of(unit, *step, now)) {
    text += (text.empty() ? "" : ",") + std::string(start.worker);
  }
  return text;
}

std::optional<millis> run_tracker::Tick(millis now, millis confirmed) {
  pool_.starts().Expire(now);
  const std::optional<millis> confirm_after = closer_.GiveUpLapsed(now, confirmed);
  std::set<unit_ref> ended;
  for (auto& [id, worker] : pool_.all()) {
    for (auto& [ref, record] : worker.runs) {
      const tracked_job* job = jobs_.Find(record.unit.job);
      const unit_state* unit = jobs_.Find(record.unit);
      const bool over = job == nullptr || unit == nullptr || IsFinal(job->state) || unit->done;
      if (over && record.phase != run_phase::kStopping) ended.insert(record.unit);
    }
  }
  for (const auto& unit : ended) Stop(unit, "its job or unit has ended", now);
  StopOverdue(now);
  ReleaseHeld(now);
  return confirm_after;
}

}  // namespace eelgrass
