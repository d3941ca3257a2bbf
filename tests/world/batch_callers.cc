#include "tests/world/batch_callers.h"

#include <utility>

namespace eelgrass {
namespace {

constexpr millis kCallerWait{3000};
constexpr millis kAskAgain{500};
constexpr int kMostTries = 40;

}  // namespace

batch_callers::batch_callers(timeline& events, batch_check& check, hand_in call)
    : events_(events), check_(check), call_(std::move(call)) {}

void batch_callers::Submit(const batch_job& job) {
  check_.OnSubmitted(job);
  Begin(call_kind::kSubmit, job);
}

void batch_callers::Ask(call_kind kind, std::string_view job) {
  batch_job named;
  for (const auto& [other, caller] : callers_) {
    if (caller.job.id == job) named = caller.job;
  }
  Begin(kind, named);
}

void batch_callers::Begin(call_kind kind, const batch_job& job) {
  const uint64_t id = ++last_caller_;
  callers_[id] = {job, kind, 0, false};
  Try(id);
}

/** Sends a call to the next entry; looks after its deadline whether to try again. */
void batch_callers::Try(uint64_t id) {
  caller_try& caller = callers_.at(id);
  if (caller.settled || caller.tries >= kMostTries) return;
  const int tries = ++caller.tries;
  caller_call call;
  call.id = id;
  call.kind = caller.kind;
  call.host = "site";
  call.path = "/" + caller.job.queue + "/" + caller.job.id;
  call.key = "key-" + caller.job.organisation;
  call.wait = kCallerWait;
  if (caller.kind == call_kind::kSubmit) call.job = caller.job;
  call_(id + static_cast<uint64_t>(tries), call);
  events_.After(kCallerWait, [this, id, tries] {
    if (callers_.at(id).tries == tries) Try(id);
  });
}

void batch_callers::OnReply(const caller_reply& reply) {
  caller_try& caller = callers_.at(reply.id);
  if (caller.settled) return;
  check_.OnAnswer(caller.job.id, caller.kind, reply, events_.now());
  const bool again = reply.answer == call_answer::kUnavailable ||
                     reply.answer == call_answer::kBusy ||
                     reply.answer == call_answer::kOutcomeUnknown;
  const bool running = reply.answer == call_answer::kState && !IsFinal(reply.state);
  const bool unknown_yet =
      caller.kind == call_kind::kState && reply.answer == call_answer::kNoSuchJob;
  if (again) {
    events_.After(kAskAgain, [this, id = reply.id, tries = caller.tries] {
      if (callers_.at(id).tries == tries) Try(id);
    });
    return;
  }
  caller.settled = true;
  if (running || unknown_yet) {
    events_.After(kAskAgain, [this, job = caller.job.id] { Watch(job); });
  }
}

}  // namespace eelgrass
