#include "kernel/batch/worker_controller.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Longest wait of a hold for a run's end; holds renew the lease, which lasts several of them. */
constexpr millis kHoldWait{500};

/** Between holds while the planner has not seen all ends: such a hold returns without waiting. */
constexpr millis kListInterval{100};

/** Between holds while nothing runs and starts or stops are pending. */
constexpr millis kBusyInterval{50};

/** Between holds while nothing runs and no start or stop is pending. */
constexpr millis kIdleInterval{1000};

/** Delay before a call is repeated that was not answered or not delivered. */
constexpr millis kRetryPause{200};

/** A worker without an answer for this long is reported without valid lists. */
constexpr millis kAnswerTimeout{1500};

/** A worker without an answer for this long is removed; longer than any lease. */
constexpr millis kForgetAfter{20000};

/** No planner grants a longer lease; a former process of the agent may have passed one on. */
constexpr millis kLongestLease{4000};

/** How much longer a lease may last on a worker with a slow clock. */
constexpr millis kLeaseSlack{400};

/** A candidate that has not answered is called for this long after its last heartbeat. */
constexpr millis kCandidateTimeout{3000};

/** Slowest rate of a worker's clock, by the platform's bound of 2%. */
constexpr int64_t kSlowClockPercent = 98;
constexpr int64_t kPercent = 100;

/** Whether the call certainly did not reach the worker. */
bool NotDelivered(call_outcome outcome) {
  return outcome == call_outcome::kNeverSent || outcome == call_outcome::kConnectionRefused;
}

/** Number of latest reports for which a grant is still accepted. */
constexpr size_t kRememberedReports = 64;

}  // namespace

worker_controller::worker_controller(const worker_heartbeat& first, millis now,
                                     millis earlier_calls_until)
    : profile_(first.worker),
      earlier_calls_until_(earlier_calls_until),
      began_(now),
      heartbeat_sequence_(first.sequence),
      worker_clock_ms_(first.clock_ms),
      clock_read_(now),
      next_hold_(now),
      last_answer_(now),
      last_heartbeat_(now) {}

bool worker_controller::On(const worker_heartbeat& heartbeat, millis now) {
  if (heartbeat.sequence <= heartbeat_sequence_) return false;
  heartbeat_sequence_ = heartbeat.sequence;
  last_heartbeat_ = now;
  const bool same = heartbeat.worker.draining == profile_.draining &&
                    heartbeat.worker.capacity == profile_.capacity &&
                    heartbeat.worker.labels == profile_.labels &&
                    heartbeat.worker.service == profile_.service;
  if (!same) {
    changed_ = true;
    log_event("worker-changed")
        .With("worker", profile_.self.id)
        .With("draining", heartbeat.worker.draining ? 1 : 0)
        .With("remaining_ms", heartbeat.worker.remaining_ms);
  }
  profile_ = heartbeat.worker;
  return true;
}

void worker_controller::RetryHold(millis now) { next_hold_ = now + kRetryPause; }

void worker_controller::OnDeparture(millis now) {
  departure_.OnDeparture(now);
  next_hold_ = std::min(next_hold_, now);
  log_event("departure-reported")
      .With("worker", profile_.self.id)
      .With("born", profile_.self.born_ms)
      .With("draining", profile_.draining ? 1 : 0)
      .With("term", term_)
      .With("answered_ago_ms", proof_.known() ? (now - proof_.received()).count() : -1);
}

bool worker_controller::heartbeat_expired(millis now) const {
  return now - last_heartbeat_ > kCandidateTimeout;
}

bool worker_controller::expired(millis now) const { return now - last_answer_ > kForgetAfter; }

void worker_controller::SetTerm(int64_t term, millis now) {
  if (term <= term_) return;
  term_ = term;
  incarnation_ = 0;
  order_sequence_ = 0;
  RestartHold(now);
  // The new planner decides from the lists. A call that is still on its way to the worker either
  // shows there or carries a fence that the worker now rejects.
  starts_.clear();
  recent_starts_.clear();
  stops_.clear();
  refused_.clear();
}

void worker_controller::RaiseIncarnation(int64_t number, millis now) {
  if (number <= incarnation_) return;
  incarnation_ = number;
  RestartHold(now);
}

/** Sends the next hold without waiting for the pending one, which may wait for a run's end. */
void worker_controller::RestartHold(millis at) {
  hold_pending_ = false;
  next_hold_ = at;
}

void worker_controller::On(const worker_order& order, millis now) {
  if (order.term != term_ || order.sequence <= order_sequence_) return;
  if (!(order.worker == profile_.self)) return;
  order_sequence_ = order.sequence;
  CheckLease(now);
  RaiseIncarnation(order.life, now);
  for (const auto& known : reports_) {
    if (known.sequence != order.grant_sequence || order.grant_ms <= 0) continue;
    const millis until = known.at + millis(order.grant_ms);
    if (until > lease_until_) {
      if (lease_until_ <= now) next_hold_ = now;
      if (lease_until_ <= now || lease_term_ != order.term) {
        log_event("lease-granted")
            .With("worker", profile_.self.id)
            .With("born", profile_.self.born_ms)
            .With("term", order.term)
            .With("term_before", lease_term_)
            .With("left_before_ms", std::max<int64_t>(0, (lease_until_ - now).count()))
            .With("left_ms", (until - now).count())
            .With("runs", static_cast<int64_t>(running_.size()));
      }
      lease_until_ = until;
      lease_term_ = order.term;
    }
  }
  if (order.seen_upto > seen_upto_) {
    seen_upto_ = order.seen_upto;
    std::erase_if(ended_, [this](const listed_end& end) { return end.number <= seen_upto_; });
    next_hold_ = std::min(next_hold_, now);
  }
  if (order.grant_ms > 0) DropOmittedStarts(order);
  for (const auto& run : order.forget) refused_.erase(run);
  for (const auto& run : order.starts) {
    const run_ref ref{run.task, run.run};
    if (run.fills || run.target_ms > 0) pacing_[ref] = {ref, run.target_ms, 0, run.fills};
    if (run.confirmed || starts_.contains(ref) || refused_.contains(ref) || IsListed(ref)) continue;
    if (stops_.contains(ref)) continue;
    ordered_start start{run};
    start.sent_before = now < earlier_calls_until_;
    starts_.emplace(ref, std::move(start));
  }
  for (const auto& ref : order.stops) {
    if (!refused_.contains(ref)) stops_.try_emplace(ref);
  }
}

/**
 * An order names every start that is still wanted. A start that it omits was cancelled while this
 * agent was unreachable and must not be carried out under the new grant.
 */
void worker_controller::DropOmittedStarts(const worker_order& order) {
  std::erase_if(starts_, [&](const auto& entry) {
    const run_ref& ref = entry.first;
    const ordered_start& start = entry.second;
    if (Contains(order.starts, ref) || start.phase == start_phase::kRefused) return false;
    const bool called = start.phase == start_phase::kCalling || start.may_take_effect();
    const bool known = called && !stops_.try_emplace(ref).second;
    if (known) return false;  // a stop is pending already
    log_event("start-unwanted")
        .With("worker", profile_.self.id)
        .With("task", ref.task)
        .With("run", ref.run)
        .With("called", called ? 1 : 0);
    return !called;
  });
}

bool worker_controller::IsListed(const run_ref& run) const {
  return Contains(running_, run) || Contains(ended_, run);
}

void worker_controller::On(const hold_answer& answer, millis now) {
  if (answer.fence != fence() || answer.sent != hold_sent_) return;
  hold_pending_ = false;
  other_incarnation_answers_ = answer.outcome == call_outcome::kOtherIncarnation ||
                               (answer.born_ms != 0 && answer.born_ms != profile_.self.born_ms);
  const bool refused = answer.outcome == call_outcome::kConnectionRefused;
  if (refused != refused_connection_) changed_ = true;
  refused_connection_ = refused;
  if (other_incarnation_answers_) DiscardLists(answer);
  if (departure_.pending()) CheckDeparture(answer, now);
  if (NotDelivered(answer.outcome)) last_failure_ = now;
  first_listed_end_ = 0;
  if (answer.outcome != call_outcome::kDone || other_incarnation_answers_) {
    // A process of this agent that has ended may have used a higher number.
    if (answer.outcome == call_outcome::kRefused) ++incarnation_;
    next_hold_ = now + (departure_.pending() ? departure_.retry_delay() : kRetryPause);
    return;
  }
  last_answer_ = now;
  answered_hold_sent_ = answer.sent;
  if (answer.born_ms == profile_.self.born_ms) {
    proof_.Record(answer.sent, now);
    answered_address_ = hold_address_;
  }
  if (answer.clock_ms > 0) {
    worker_clock_ms_ = answer.clock_ms;
    clock_read_ = now;
  }
  ApplyLists(answer, now);
}

/**
 * Whether nothing can run any more: connections are refused where this incarnation has answered,
 * and it has no runs or their lease is over. The refusal alone does not show that it has ended, as
 * a worker whose departure was not acknowledged goes on for a while.
 */
bool worker_controller::RefusalProvesEnd(millis now) const {
  const bool refused =
      refused_connection_ && hold_address_ == answered_address_ && hold_address_ == address();
  const bool idle = running_.empty() && starts_.empty() && stops_.empty();
  return refused && (idle || now - std::max(lease_until_, began_ + kLongestLease) > kLeaseSlack);
}

/** Only a hold that was sent after the departure was reported shows whether it has ended. */
void worker_controller::CheckDeparture(const hold_answer& answer, millis now) {
  if (answer.sent < departure_.reported_at()) return;
  departed_ = RefusalProvesEnd(now) || other_incarnation_answers_;
  const millis reported_at = departure_.reported_at();
  const bool answered = !departed_ && answer.outcome == call_outcome::kDone;
  departure_.OnAnswer(answered);
  if (!departed_ && departure_.pending()) return;
  log_event(departed_ ? "worker-left" : "departure-outdated")
      .With("worker", profile_.self.id)
      .With("born", profile_.self.born_ms)
      .With("born_answered", answer.born_ms)
      .With("term", term_)
      .With("reported_ago_ms", (now - reported_at).count())
      .With("hold_sent_ago_ms", (now - answer.sent).count());
}

/** Invalidates the lists, as another incarnation answers. */
void worker_controller::DiscardLists(const hold_answer& answer) {
  if (confirmed_term_ == 0) return;
  confirmed_term_ = 0;
  changed_ = true;
  log_event("other-incarnation-answers")
      .With("worker", profile_.self.id)
      .With("born", profile_.self.born_ms)
      .With("born_answered", answer.born_ms);
}

void worker_controller::ApplyLists(const hold_answer& answer, millis now) {
  const auto key = [](const auto& list) {
    std::vector<run_ref> refs;
    for (const auto& entry : list) refs.push_back({entry.task, entry.run});
    std::sort(refs.begin(), refs.end());
    return refs;
  };
  std::vector<listed_end> unseen;
  for (const auto& end : answer.ended) {
    if (end.number > seen_upto_) unseen.push_back(end);
  }
  if (!answer.ended.empty()) first_listed_end_ = answer.ended.front().number;
  const auto last_end = [](const auto& list) { return list.empty() ? 0 : list.back().number; };
  const bool same = confirmed() && key(running_) == key(answer.running) &&
                    ended_.size() == unseen.size() && last_end(ended_) == last_end(unseen) &&
                    more_ends_ == answer.more_ends;
  changed_ = changed_ || !same;
  confirmed_term_ = term_;
  confirmed_incarnation_ = incarnation_;
  running_ = answer.running;
  ended_ = std::move(unseen);
  more_ends_ = answer.more_ends;
  if (lease_lapsed_) NoteLapse();
  lease_lapsed_ = lease_until_ <= now;
  std::erase_if(starts_, [this](const auto& entry) {
    return entry.second.phase != start_phase::kRefused && IsListed(entry.first);
  });
  // Lists of a hold that was sent before a start was answered may not show that run yet.
  for (const auto& [ref, holds] : recent_starts_) {
    if (holds >= hold_number_ && !IsListed(ref)) running_.push_back({ref.task, ref.run, "", -1, 0});
  }
  std::erase_if(recent_starts_, [this](const auto& entry) { return entry.second < hold_number_; });
  CompleteStops();
  UpdatePacing(now);
  next_hold_ = NextHold(now);
}

void worker_controller::CheckLease(millis now) {
  if (lease_until_ > now || lease_lapsed_) return;
  lease_lapsed_ = true;
  NoteLapse();
}

/** Another run may have been ordered in place of those that the listed ends are of. */
void worker_controller::NoteLapse() {
  for (const auto& end : ended_) lapsed_upto_ = std::max(lapsed_upto_, end.number);
}

/** Limits the runs that use idle cores to what the serving tasks on the same worker allow. */
void worker_controller::UpdatePacing(millis now) {
  std::erase_if(pacing_, [this](const auto& entry) {
    return !IsListed(entry.first) && !starts_.contains(entry.first);
  });
  std::vector<paced_run> runs;
  for (const auto& listed : running_) {
    const auto found = pacing_.find({listed.task, listed.run});
    if (found == pacing_.end()) continue;
    runs.push_back(found->second);
    runs.back().latency_ms = listed.load;
  }
  for (const auto& change : pace_.Decide(runs, now)) {
    log_event("run-paced")
        .With("worker", profile_.self.id)
        .With("task", change.run.task)
        .With("run", change.run.run)
        .With("percent", change.percent);
    pace_changes_.push_back(change);
  }
}

millis worker_controller::NextHold(millis now) const {
  if (departure_.pending()) return now + departure_.retry_delay();
  if (!ended_.empty()) return now + kListInterval;
  if (!running_.empty()) return now;
  return now + (starts_.empty() && stops_.empty() ? kIdleInterval : kBusyInterval);
}

/**
 * A stopped run that later lists do not show never began and now cannot. While the list of ends is
 * not complete, it may as well have ended.
 */
void worker_controller::CompleteStops() {
  for (auto stop = stops_.begin(); stop != stops_.end();) {
    const run_ref ref = stop->first;
    const bool settled =
        stop->second.phase == stop_phase::kAnswered && hold_number_ > stop->second.holds_before;
    const bool may_have_ended = more_ends_ && !IsListed(ref);
    if (!settled || Contains(running_, ref) || may_have_ended) {
      ++stop;
      continue;
    }
    stop = stops_.erase(stop);
    if (!IsListed(ref)) Refuse(ref, start_refusal::kBarred);
  }
}

/**
 * Ends a start of which an earlier call may still take effect, which a stop prevents. Its run may
 * also have ended, which later lists show.
 */
void worker_controller::Bar(const run_ref& run, ordered_start& start) {
  log_event("start-barred")
      .With("worker", profile_.self.id)
      .With("task", run.task)
      .With("run", run.run)
      .With("called", start.phase == start_phase::kWanted ? 0 : 1)
      .With("term", term_);
  start.phase = start_phase::kRefused;
  stops_.try_emplace(run);
}

void worker_controller::Refuse(const run_ref& run, start_refusal reason) {
  starts_.erase(run);
  stops_.erase(run);
  refused_[run] = reason;
  changed_ = true;
  log_event("start-refused")
      .With("worker", profile_.self.id)
      .With("task", run.task)
      .With("run", run.run)
      .With("reason", StartRefusalName(reason))
      .With("term", term_);
}

void worker_controller::On(const start_answer& answer, millis now) {
  if (!(answer.worker == profile_.self)) return;
  const auto found = starts_.find(answer.run);
  if (found == starts_.end()) return;
  ordered_start& start = found->second;
  if (NotDelivered(answer.outcome) || answer.outcome == call_outcome::kNoAnswer) {
    last_failure_ = now;
    RestartHold(now + kRetryPause);
  }
  switch (answer.outcome) {
    case call_outcome::kDone:
      if (!IsListed(answer.run)) {
        running_.push_back({answer.run.task, answer.run.run, start.run.saved, -1, 0});
      }
      recent_starts_[answer.run] = holds_begun_;
      starts_.erase(found);
      next_hold_ = std::min(next_hold_, now);
      changed_ = true;
      log_event("run-started")
          .With("worker", profile_.self.id)
          .With("task", answer.run.task)
          .With("run", answer.run.run)
          .With("term", term_);
      return;
    case call_outcome::kRefused:
      if (start.may_take_effect() && (answer.refusal != start_refusal::kOld || more_ends_)) {
        Bar(answer.run, start);
      } else {
        Refuse(answer.run, answer.refusal);
      }
      return;
    case call_outcome::kNoAnswer:
      start.outcome_unknown = true;
      start.phase = start_phase::kUnanswered;
      start.not_before = now + kRetryPause;
      log_event("start-unanswered")
          .With("worker", profile_.self.id)
          .With("task", answer.run.task)
          .With("run", answer.run.run);
      return;
    case call_outcome::kNeverSent:
    case call_outcome::kConnectionRefused:
    case call_outcome::kOtherIncarnation:
      start.phase = start_phase::kUnanswered;
      start.not_before = now + kRetryPause;
      return;
  }
}

void worker_controller::On(const stop_answer& answer, millis now) {
  if (!(answer.worker == profile_.self)) return;
  const auto found = stops_.find(answer.run);
  if (found == stops_.end()) return;
  if (answer.outcome != call_outcome::kDone) {
    found->second.phase = stop_phase::kWanted;
    found->second.not_before = now + kRetryPause;
    return;
  }
  found->second.phase = stop_phase::kAnswered;
  found->second.holds_before = holds_begun_;
  next_hold_ = std::min(next_hold_, now);
}

void worker_controller::On(const pace_answer& answer) {
  const bool over = answer.outcome == call_outcome::kDone || !IsListed(answer.run);
  if (!over) pace_changes_.push_back({answer.run, answer.percent});
}

/** The lease's end by the worker's clock; no later than granted, even if that clock is slow. */
int64_t worker_controller::DeadlineFor(millis now) const {
  if (lease_until_ <= now || worker_clock_ms_ <= 0) return 0;
  const int64_t passed = (now - clock_read_).count() * kSlowClockPercent / kPercent;
  return worker_clock_ms_ + passed + (lease_until_ - now).count();
}

/**
 * The ends that the next hold lets the worker forget. The next incarnation under the id may carry
 * the hold out, and would forget its own ends up to that number, so that it names one only while
 * this incarnation lists ends to forget.
 */
int64_t worker_controller::Acknowledged() const {
  return first_listed_end_ > 0 && first_listed_end_ <= seen_upto_ ? seen_upto_ : 0;
}

void worker_controller::Tick(millis now, std::vector<worker_call>& calls) {
  CheckLease(now);
  if (term_ == 0) return;
  CallHold(now, calls);
  if (!confirmed()) return;
  CallStops(now, calls);
  CallStarts(now, calls);
  for (const auto& change : pace_changes_) {
    calls.emplace_back(
        pace_call{profile_.address, profile_.self, fence(), change.run, change.percent});
  }
  pace_changes_.clear();
}

void worker_controller::CallHold(millis now, std::vector<worker_call>& calls) {
  if (hold_pending_ || now < next_hold_) return;
  hold_pending_ = true;
  hold_sent_ = now;
  hold_address_ = profile_.address;
  hold_number_ = ++holds_begun_;
  const bool wait = confirmed() && ended_.empty() && !running_.empty() && !departure_.pending();
  hold_call call{profile_.address, profile_.self,    fence(),
                 Acknowledged(),   DeadlineFor(now), millis(0)};
  if (wait) call.wait = kHoldWait;
  call.sent = now;
  calls.emplace_back(std::move(call));
}

void worker_controller::CallStops(millis now, std::vector<worker_call>& calls) {
  for (auto& [ref, stop] : stops_) {
    if (stop.phase != stop_phase::kWanted || now < stop.not_before) continue;
    stop.phase = stop_phase::kCalling;
    calls.emplace_back(stop_call{profile_.address, profile_.self, fence(), ref});
    log_event("run-stop")
        .With("worker", profile_.self.id)
        .With("task", ref.task)
        .With("run", ref.run)
        .With("term", term_);
  }
}

void worker_controller::CallStarts(millis now, std::vector<worker_call>& calls) {
  const int64_t deadline = DeadlineFor(now);
  std::vector<run_ref> refused;
  for (auto& [ref, start] : starts_) {
    const bool due = start.phase == start_phase::kWanted || start.phase == start_phase::kUnanswered;
    if (!due || now < start.not_before || stops_.contains(ref)) continue;
    if (profile_.draining && !start.outcome_unknown) {
      refused.push_back(ref);
      continue;
    }
    // If this incarnation has ended, the next one with its id would execute the start.
    if (deadline == 0 || departure_.pending() || !answered_since_failure()) continue;
    start.phase = start_phase::kCalling;
    calls.emplace_back(start_call{profile_.address, profile_.self, fence(), deadline, start.run});
  }
  for (const auto& ref : refused) {
    ordered_start& start = starts_.at(ref);
    if (start.sent_before) {
      Bar(ref, start);
    } else {
      Refuse(ref, start_refusal::kBarred);
    }
  }
}

/** Fills in how long each run has been listed; a later planner did not see it start. */
void worker_controller::FillRunTimes(std::span<listed_run> runs, millis now) {
  std::map<run_ref, millis> since;
  for (auto& run : runs) {
    const run_ref ref{run.task, run.run};
    const auto known = running_since_.find(ref);
    const millis at = known == running_since_.end() ? now : known->second;
    since.emplace(ref, at);
    run.ran_ms = (now - at).count();
  }
  running_since_ = std::move(since);
}

worker_report worker_controller::Report(int64_t sequence, millis now) {
  changed_ = false;
  reports_.push_back({sequence, now});
  if (reports_.size() > kRememberedReports) reports_.pop_front();
  worker_report report;
  report.sequence = sequence;
  report.sent_ms = now.count();
  report.present = true;
  report.term = confirmed_term_;
  report.life = confirmed_incarnation_;
  report.listed =
      confirmed_term_ != 0 && !refused_connection_ && now - last_answer_ < kAnswerTimeout;
  if (report.listed) report.listed_ago_ms = (now - last_answer_).count();
  report.worker = profile_;
  if (profile_.remaining_ms >= 0) {
    report.worker.remaining_ms =
        std::max<int64_t>(0, profile_.remaining_ms - (now - last_heartbeat_).count());
  }
  report.running = running_;
  FillRunTimes(report.running, now);
  report.ended = ended_;
  report.more_ends = more_ends_;
  report.lapsed_upto = lapsed_upto_;
  for (const auto& [ref, reason] : refused_) report.refused.push_back({ref.task, ref.run, reason});
  return report;
}

}  // namespace eelgrass
