#include "kernel/batch/sent_starts.h"

#include <algorithm>
#include <set>

namespace eelgrass {

sent_starts::sent_run* sent_starts::Find(std::string_view worker, const run_ref& run) {
  const auto found = runs_.find({std::string(worker), run});
  return found == runs_.end() ? nullptr : &found->second;
}

void sent_starts::OnSent(const start_call& call, millis now) {
  runs_[{call.worker.id, {call.run.task, call.run.run}}].calls.push_back({call.fence, now});
}

void sent_starts::On(const start_answer& answer, millis now) {
  sent_run* run = Find(answer.worker.id, answer.run);
  if (run == nullptr) return;
  const auto call = std::find_if(run->calls.begin(), run->calls.end(), [&](const sent_call& sent) {
    return sent.pending && sent.fence == answer.fence;
  });
  if (call == run->calls.end()) return;
  if (answer.outcome == call_outcome::kNoAnswer) {
    call->pending = false;
    call->at = std::max(call->at, now - kCallTimeout);
    return;
  }
  run->answered = run->answered || answer.outcome == call_outcome::kDone;
  run->calls.erase(call);
}

void sent_starts::On(const hold_answer& answer) {
  const auto note = [&](const auto& list) {
    for (const auto& entry : list) {
      if (sent_run* run = Find(answer.worker.id, {entry.task, entry.run})) run->listed = true;
    }
  };
  note(answer.running);
  note(answer.ended);
}

std::vector<worker_open_starts> sent_starts::Unanswered(millis now) {
  std::set<std::string> workers;
  for (const auto& entry : runs_) workers.insert(entry.first.first);
  std::vector<worker_open_starts> all;
  for (const auto& worker : workers) {
    worker_open_starts open{worker, "", "", Unanswered(worker, now)};
    if (!open.starts.empty()) all.push_back(std::move(open));
  }
  return all;
}

/** The process may have been suspended before it sent a call that is still pending. */
millis sent_starts::LatestSending(const sent_run& run, millis now) {
  millis latest = run.calls.back().at;
  for (const auto& call : run.calls) latest = std::max(latest, call.pending ? now : call.at);
  return latest;
}

std::vector<unanswered_start> sent_starts::Unanswered(std::string_view worker, millis now) {
  std::vector<unanswered_start> unanswered;
  for (auto entry = runs_.begin(); entry != runs_.end();) {
    sent_run& run = entry->second;
    const size_t over = std::erase_if(run.calls, [&](const sent_call& call) {
      return !call.pending && now - call.at >= kLatestExecution;
    });
    // The listed run may have been started by one of these.
    run.answered = run.answered || over > 0;
    if (run.calls.empty()) {
      entry = runs_.erase(entry);
      continue;
    }
    const run_ref& ref = entry->first.second;
    const size_t carried_out = run.listed && !run.answered ? 1 : 0;
    if (entry->first.first == worker && run.calls.size() > carried_out) {
      unanswered.push_back(
          {ref.task, ref.run, (LatestSending(run, now) + kLatestExecution - now).count()});
    }
    ++entry;
  }
  return unanswered;
}

}  // namespace eelgrass
