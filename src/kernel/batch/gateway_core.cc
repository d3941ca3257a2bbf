#include "kernel/batch/gateway_core.h"

#include <algorithm>

#include "kernel/base/log_event.h"
#include "kernel/batch/term_election.h"

namespace eelgrass {
namespace {

/** Wait of a caller that states none: the deadline that the deployments' callers use. */
constexpr millis kDefaultWait{3000};

/** Limit of the wait that a caller states: its call is kept until then. */
constexpr millis kLongestWait{60000};

/** Subtracted from a caller's wait for network latency and queueing, so the answer is in time. */
constexpr millis kAnswerMargin{200};

/** Interval of repeated inquiries; a round trip to the planner takes a few milliseconds. */
constexpr millis kInquiryRetry{400};

/** Retry-after of a refusal; by then a takeover or a short fault of the store is over. */
constexpr millis kRetryAfter{1000};

/** Keyed calls are refused this long before the revocation time, as the answer takes time too. */
constexpr millis kRevocationMargin{800};

/** Least remaining time for starting an insertion; an idle store takes half of that. */
constexpr millis kMinInsertTime{30};

/** Limit of the check of a job's row before a rejection; a slow store answers within 0.4 s. */
constexpr millis kRowCheckTimeout{450};

/** A call is refused after the store has not served it, or this entry, for this long. */
constexpr millis kUnservedLimit{1500};

}  // namespace

gateway_core::gateway_core(gateway_options options, const operator_source& source,
                           const batch_record_codec& codec)
    : options_(std::move(options)),
      source_(source),
      codec_(codec),
      operators_(source, options_.config_bound),
      entries_(options_.node, options_.peer_address) {}

void gateway_core::Decide(std::span<gateway_event> events, millis now,
                          std::vector<gateway_action>& actions) {
  out_ = &actions;
  for (auto& event : events) {
    std::visit([&](auto& e) { On(e, now); }, event);
  }
  Retry(now);
  PollOperators(now);
  DiscoverEntries(now);
  // An entry that would refuse calls must not get new connections.
  const bool ready = operators_.known() && UpToDate(now) && !StoreUnserved(now) && !draining_;
  if (ready != ready_) {
    ready_ = ready;
    out_->emplace_back(readiness_change{ready});
    log_event("readiness-changed").With("ready", ready ? 1 : 0);
  }
  out_ = nullptr;
}

gateway_statistics gateway_core::stats(millis now) const {
  gateway_statistics stats;
  stats.failed_operator_calls = operators_.failed_calls();
  stats.listed_entries = static_cast<int64_t>(entries_.listed());
  stats.connected_entries = static_cast<int64_t>(entries_.connected());
  if (!operators_.known()) return stats;
  stats.config_revision = operators_.state().config_revision;
  stats.config_version = operators_.version();
  stats.config_age = now - operators_.config_confirmed();
  return stats;
}

bool gateway_core::UpToDate(millis now) const {
  return now - operators_.config_confirmed() < options_.revocation - kRevocationMargin;
}

void gateway_core::On(caller_call& call, millis now) {
  const int64_t token = ++last_token_;
  open_call& open = calls_[token];
  const millis wait = call.wait > millis(0) ? std::min(call.wait, kLongestWait) : kDefaultWait;
  open.arrived = now;
  open.deadline = now + std::max(wait - kAnswerMargin, wait / 2);
  open.call = std::move(call);
  Admit(token, open, now);
}

/** Begins a call that the configuration allows, answers one that it does not, or lets it wait. */
void gateway_core::Admit(int64_t token, open_call& call, millis now) {
  if (!operators_.known()) {
    return Refuse(call, call_answer::kUnavailable, "no configuration yet", now);
  }
  const call_verdict verdict = JudgeCall(call.call, *operators_.state().config);
  const bool submitted = call.call.kind == call_kind::kSubmit;
  const bool key_outdated = verdict.keyed && !UpToDate(now);
  // An insertion has the configuration's revision as a condition, so that the store confirms it. No
  // configuration allows a malformed call.
  const bool any_age = verdict.refusal ? *verdict.refusal == call_answer::kMalformed : submitted;
  const bool confirmed = any_age || ConfigCurrent(call);
  if ((!confirmed || key_outdated) && AwaitConfig(call, now)) return;
  call.queue = verdict.queue;
  call.job = verdict.job;
  call.organisation = verdict.organisation;
  if ((verdict.refusal || submitted) && !operators_.config_readable()) {
    return Refuse(call, call_answer::kUnavailable, "the newest configuration cannot be read", now);
  }
  if (key_outdated || (verdict.refusal && !confirmed)) {
    return Refuse(call, call_answer::kUnavailable, "configuration may be outdated", now);
  }
  if (verdict.refusal) return Refuse(call, *verdict.refusal, verdict.detail, now);
  call.admitted = true;
  if (submitted) {
    if (!RejectEarly(token, call, now)) Insert(token, call, now);
  } else {
    SendInquiry(token, call, now);
  }
}

/**
 * Rejects a job that could not end while it is of any value. The caller may have handed it in
 * before, here or at another entry, so that the store is asked for its row first. The condition on
 * the epoch never holds: the transaction only returns the rows and confirms the newest term.
 */
bool gateway_core::RejectEarly(int64_t token, open_call& call, millis now) {
  if (call.tries > 0 || call.outcome_unknown || call.check == row_check::kFailed) return false;
  const batch_config& config = *operators_.state().config;
  const auto rejection =
      admission_.Judge({call.job, *call.call.job}, *config.FindQueueByName(call.queue),
                       config.FindOrganisation(call.organisation), now);
  if (!rejection || MayBeInserted(call)) return false;
  if (call.check == row_check::kAbsent) {
    caller_reply reply{call.call.id, call_answer::kBusy};
    reply.retry_after = admission_.Reject(*rejection, now);
    reply.detail = "the queue's load would not let the job end while it is of value";
    Answer(call, std::move(reply), now);
    return true;
  }
  call.check = row_check::kPending;
  call.next_try = call.deadline;
  row_transaction check;
  check.conditions.push_back({{std::string(kJobsTable), "", call.job}, 0});
  check.conditions.push_back({EpochRow(), 0});
  const millis timeout = std::min(kRowCheckTimeout, (call.deadline - now) / 2);
  out_->emplace_back(store_request{token, std::move(check), timeout});
  return true;
}

/** Whether another call of this entry may have inserted the job. */
bool gateway_core::MayBeInserted(const open_call& call) const {
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& entry) {
    return entry.second.job == call.job && entry.second.tries > 0 &&
           entry.second.call.kind == call_kind::kSubmit;
  });
}

/** Without an answer the job is not rejected, but inserted. */
void gateway_core::OnRowChecked(open_call& call, const transaction_result& result, millis now) {
  call.check = row_check::kFailed;
  call.next_try = now;
  if (result.outcome != row_outcome::kConflict || HandleConflict(call, result, now)) return;
  call.check = row_check::kAbsent;
}

void gateway_core::Refuse(open_call& call, call_answer answer, std::string_view detail,
                          millis now) {
  caller_reply reply{call.call.id, answer};
  reply.detail = detail;
  if (answer == call_answer::kUnavailable) reply.retry_after = kRetryAfter;
  Answer(call, std::move(reply), now);
}

/** Whether a newer configuration would have been in force for less than the bound. */
bool gateway_core::ConfigCurrent(const open_call& call) const {
  return operators_.config_confirmed() >= call.arrived - options_.config_bound;
}

/** Requests a confirmation. Returns false if there will be none in time. */
bool gateway_core::AwaitConfig(const open_call& call, millis now) {
  const bool hopeless = operators_.failing() && store_.silent();
  const bool failed = operators_.failed_call_sent() >= call.arrived;
  if (hopeless || failed || StoreWaitExpired(call, now)) return false;
  operators_.RequestConfirmation(now);
  return true;
}

void gateway_core::Insert(int64_t token, open_call& call, millis now) {
  const millis left = call.deadline - now;
  // Started later, it would end with an unknown outcome, which the caller cannot retry safely.
  if (left < kMinInsertTime && !call.outcome_unknown) return GiveUp(call, now);
  if (store_.silent() && !call.outcome_unknown) return DeferInsert(call, now);
  if (call.value.empty() || call.term != newest_term_) {
    call.term = newest_term_;
    batch_job job = *call.call.job;
    job.accepted_term = call.term;
    job.handed_in = clock_.StoreAt(call.arrived).value_or(millis(0));
    job.id = call.job;
    job.queue = call.queue;
    job.organisation = call.organisation;
    call.value = codec_.Encode(job);
    if (call.value.size() > options_.row_bytes && !call.outcome_unknown) {
      caller_reply reply{call.call.id, call_answer::kTooLarge};
      reply.detail = "the job does not fit in a row of the store";
      return Answer(call, std::move(reply), now);
    }
  }
  row_transaction change;
  const row_key at{std::string(kJobsTable), "", call.job};
  change.conditions.push_back({at, 0});
  call.config_revision = operators_.state().config_revision;
  change.conditions.push_back({source_.config_row(), call.config_revision});
  change.conditions.push_back({EpochRow(), call.term});
  change.writes.push_back({at, call.value});
  call.insert_pending = true;
  call.sent = now;
  ++call.tries;
  out_->emplace_back(store_request{token, std::move(change), std::min(kStoreTimeout, left)});
}

void gateway_core::On(store_reply& reply, millis now) {
  const auto outcome = std::visit([](const auto& answer) { return answer.outcome; }, reply.answer);
  store_.RecordOutcome(outcome, now);
  if (outcome == row_outcome::kUnknown) admission_.OnStoreUnanswered(now);
  clock_.Update(std::visit([](const auto& answer) { return answer.store_now; }, reply.answer), now);
  if (reply.token == follower_token_) {
    follower_token_ = 0;
    operators_.On(std::get<rows_result>(reply.answer), now);
    return;
  }
  if (reply.token == confirmation_token_) {
    confirmation_token_ = 0;
    operators_.OnConfirmation(std::get<rows_result>(reply.answer), now);
    return;
  }
  if (reply.token == entries_token_) {
    entries_token_ = 0;
    return entries_.On(reply, now);
  }
  const auto found = calls_.find(reply.token);
  if (found == calls_.end()) return;
  const auto& result = std::get<transaction_result>(reply.answer);
  if (found->second.check == row_check::kPending) {
    OnRowChecked(found->second, result, now);
  } else {
    OnInserted(found->second, result, now);
  }
  if (found->second.call.id == 0) calls_.erase(found);
}

/** Whether the store has served no call of this entry for longer than kUnservedLimit. */
bool gateway_core::StoreUnserved(millis now) const { return store_.Unserved(now) > kUnservedLimit; }

/** Whether to refuse now: the caller can still try another entry, which the store may serve. */
bool gateway_core::StoreWaitExpired(const open_call& call, millis now) const {
  return StoreUnserved(now) || now - call.arrived > kUnservedLimit;
}

/**
 * Delays an insertion while the store does not answer. Until it is sent, the call can be answered
 * as not done, so that the caller may submit the job again.
 */
void gateway_core::DeferInsert(open_call& call, millis now) {
  call.next_try = now;
  if (StoreWaitExpired(call, now)) GiveUp(call, now);
}

void gateway_core::OnInserted(open_call& call, const transaction_result& result, millis now) {
  call.insert_pending = false;
  switch (result.outcome) {
    case row_outcome::kDone:
      operators_.ConfirmConfig(call.config_revision, call.sent);
      NotifyAccepted(call, result.revision);
      return Answer(call, {call.call.id, call_answer::kAccepted}, now);
    case row_outcome::kConflict:
      if (HandleConflict(call, result, now)) return;
      call.next_try = now;
      return;
    case row_outcome::kUnknown:
    case row_outcome::kHistoryGone:
      return ScheduleReinsert(call, now);
    case row_outcome::kNotDone:
      call.next_try = now + kStoreRetryPause;
      if (!call.outcome_unknown && StoreWaitExpired(call, now)) GiveUp(call, now);
      return;
  }
}

/**
 * Repeats an insertion without an answer: immediately the first time, as possibly only a kept-alive
 * connection was closed, then at the retry interval, as a store that resets connections does so
 * without delay.
 */
void gateway_core::ScheduleReinsert(open_call& call, millis now) {
  call.next_try = call.outcome_unknown ? std::max(now, call.sent + kStoreRetryPause) : now;
  call.outcome_unknown = true;
}

/** Notifies the planner of a stored job, so that it can start before the store's feed lists it. */
void gateway_core::NotifyAccepted(const open_call& call, int64_t revision) {
  if (planner_.planner.empty()) return;
  SendToPlanner(job_accepted{call.job, call.value, revision});
}

/** Sends to the planner, in this process or another. Requires a known planner. */
template <typename Message>
void gateway_core::SendToPlanner(Message message) {
  if (planner_.planner == options_.node) {
    out_->emplace_back(own_planner_request{std::move(message)});
  } else {
    out_->emplace_back(send_to_peer{planner_.planner, std::move(message)});
  }
}

/** Handles a failed condition of an insertion. Returns false if the call has to be retried. */
bool gateway_core::HandleConflict(open_call& call, const transaction_result& result, millis now) {
  for (const auto& found : result.current) {
    if (found.at.table == kJobsTable && found.revision > 0) {
      const auto job = codec_.DecodeJob(found.value);
      const bool same =
          job && job.value().queue == call.queue && job.value().organisation == call.organisation;
      if (same) {
        Answer(call, {call.call.id, call_answer::kAccepted}, now);
      } else {
        caller_reply reply{call.call.id, call_answer::kMalformed};
        reply.detail = "another job has this id";
        Answer(call, std::move(reply), now);
      }
      return true;
    }
    if (found.at == EpochRow()) {
      newest_term_ = std::max(newest_term_, found.revision);
      admission_.OnTerm(newest_term_);
    } else {
      operators_.Adopt(found, call.sent, now);
    }
  }
  // The job is not stored, and an earlier try that is still pending names the revision of an older
  // configuration or term: it can no longer succeed.
  call.outcome_unknown = false;
  call.admitted = false;
  call.value.clear();
  return false;
}

void gateway_core::SendInquiry(int64_t id, open_call& call, millis now) {
  call.next_try = now + kInquiryRetry;
  if (planner_.planner.empty()) return;
  job_inquiry inquiry;
  inquiry.id = id;
  inquiry.job = call.job;
  inquiry.queue = call.queue;
  if (call.call.kind == call_kind::kCancel) {
    inquiry.question = job_question::kCancel;
  } else {
    inquiry.question = call.job.empty() ? job_question::kWaiting : job_question::kState;
  }
  ++call.tries;
  call.inquiry_sent = true;
  SendToPlanner(std::move(inquiry));
}

void gateway_core::OnReply(const job_reply& reply, millis now) {
  const auto found = calls_.find(reply.id);
  if (found == calls_.end()) return;
  open_call& call = found->second;
  caller_reply answer{call.call.id};
  switch (reply.outcome) {
    case inquiry_outcome::kNotPlanner:
    case inquiry_outcome::kUnavailable:
      return;  // repeated after kInquiryRetry or when the planner changes
    case inquiry_outcome::kNoSuchJob:
      answer.answer = call_answer::kNoSuchJob;
      break;
    case inquiry_outcome::kKnown:
      if (call.call.kind == call_kind::kCancel) {
        answer.answer = call_answer::kCancelled;
      } else {
        answer.answer = call.job.empty() ? call_answer::kWaiting : call_answer::kState;
      }
      break;
  }
  answer.state = reply.state;
  answer.waiting = reply.waiting;
  Answer(call, std::move(answer), now);
  calls_.erase(found);
}

void gateway_core::On(peer_up& event, millis) {
  if (event.peer.role == peer_role::kEntry) entries_.OnConnected(event.peer.id);
}

void gateway_core::On(peer_down& event, millis) {
  entries_.OnDisconnected(event.peer);
  if (event.peer == planner_.planner) planner_.planner.clear();
}

void gateway_core::On(peer_said& event, millis now) {
  if (const auto* notice = std::get_if<planner_notice>(&event.message)) OnNotice(*notice, now);
  if (const auto* reply = std::get_if<job_reply>(&event.message)) OnReply(*reply, now);
  if (const auto* load = std::get_if<load_forecast>(&event.message)) admission_.On(*load, now);
}

void gateway_core::On(own_planner_reply& event, millis now) {
  if (const auto* notice = std::get_if<planner_notice>(&event.message)) OnNotice(*notice, now);
  if (const auto* reply = std::get_if<job_reply>(&event.message)) OnReply(*reply, now);
  if (const auto* load = std::get_if<load_forecast>(&event.message)) admission_.On(*load, now);
}

void gateway_core::OnNotice(const planner_notice& notice, millis now) {
  if (notice.term < planner_.term) return;
  newest_term_ = std::max(newest_term_, notice.term);
  admission_.OnTerm(newest_term_);
  const bool changed = notice.planner != planner_.planner || notice.term != planner_.term;
  planner_ = notice;
  if (!changed) return;
  for (auto& [token, call] : calls_) {
    if (call.call.kind != call_kind::kSubmit) call.next_try = now;
  }
}

void gateway_core::On(gateway_drain&, millis) { draining_ = true; }

void gateway_core::Retry(millis now) {
  for (auto& [token, call] : calls_) {
    if (call.call.id == 0) continue;  // answered
    if (now >= call.deadline) {
      GiveUp(call, now);
    } else if (!call.admitted) {
      Admit(token, call, now);
    } else if (!call.insert_pending && now >= call.next_try) {
      if (call.call.kind == call_kind::kSubmit) {
        Insert(token, call, now);
      } else {
        SendInquiry(token, call, now);
      }
    }
  }
  std::erase_if(calls_, [](const auto& entry) { return entry.second.call.id == 0; });
}

void gateway_core::GiveUp(open_call& call, millis now) {
  const bool submitted = call.call.kind == call_kind::kSubmit;
  const bool cancelled = call.call.kind == call_kind::kCancel;
  const bool unknown =
      submitted ? call.outcome_unknown || call.insert_pending : cancelled && call.inquiry_sent;
  if (unknown && submitted) admission_.RememberUnknown(call.job, now);
  caller_reply reply{call.call.id};
  reply.answer = unknown ? call_answer::kOutcomeUnknown : call_answer::kUnavailable;
  reply.retry_after = unknown ? millis(0) : kRetryAfter;
  if (!call.admitted) {
    reply.detail = "configuration may be outdated";
  } else if (!submitted) {
    reply.detail = "no planner answered in time";
  } else if (call.tries == 0 && store_.silent()) {
    reply.detail = "the store does not answer";
  } else if (call.tries == 0) {
    reply.detail = "the caller's wait is too short to store the job";
  } else {
    reply.detail = "the store did not take the job in time";
  }
  Answer(call, std::move(reply), now);
}

/** Answers a call; its id becomes 0, which marks it as answered. */
void gateway_core::Answer(open_call& call, caller_reply reply, millis now) {
  const bool quiet = call.call.kind == call_kind::kState &&
                     (reply.answer == call_answer::kState || reply.answer == call_answer::kWaiting);
  if (!quiet) {
    const millis config_age = now - operators_.config_confirmed();
    log_event("call-answered")
        .With("job", call.job)
        .With("queue", call.queue)
        .With("organisation", call.organisation)
        .With("kind", static_cast<int64_t>(call.call.kind))
        .With("answer", CallAnswerName(reply.answer))
        .With("state", BatchStateName(reply.state))
        .With("tries", call.tries)
        .With("took_ms", (now - call.arrived).count())
        .With("config_revision", operators_.state().config_revision)
        .With("config_age_ms", operators_.known() ? config_age.count() : -1)
        .With("detail", reply.detail);
  }
  reply.took = now - call.arrived;
  // On the same connection the caller's next try would reach this entry again.
  reply.elsewhere =
      reply.answer == call_answer::kUnavailable || reply.answer == call_answer::kOutcomeUnknown;
  out_->emplace_back(std::move(reply));
  call.call.id = 0;
}

void gateway_core::PollOperators(millis now) {
  if (auto request = operators_.Next(now)) {
    follower_token_ = ++last_token_;
    request->token = follower_token_;
    out_->emplace_back(std::move(*request));
  }
  if (auto request = operators_.NextConfirmation(now)) {
    confirmation_token_ = ++last_token_;
    request->token = confirmation_token_;
    out_->emplace_back(std::move(*request));
  }
  const bool changed = operators_.changes() != sent_changes_;
  if (!operators_.known() || (!changed && operators_.confirmed() == sent_confirmed_)) return;
  sent_changes_ = operators_.changes();
  sent_confirmed_ = operators_.confirmed();
  out_->emplace_back(operator_update{operators_.state(), operators_.confirmed()});
}

void gateway_core::DiscoverEntries(millis now) {
  const bool planning = planner_.planner == options_.node;
  if (auto request = entries_.NextCall(planning, now)) {
    entries_token_ = ++last_token_;
    request->token = entries_token_;
    out_->emplace_back(std::move(*request));
  }
  link_changes changes = entries_.NextLinks(now);
  for (auto& address : changes.dial) out_->emplace_back(dial_peer{std::move(address)});
  for (auto& address : changes.undial) out_->emplace_back(undial_peer{std::move(address)});
}

}  // namespace eelgrass
