#include "tests/world/fake_advice.h"

#include <algorithm>

namespace eelgrass {
namespace {

/** A caller gives a call up this long after it should have been answered. */
constexpr millis kPatience{2000};

}  // namespace

void fake_advice::SetQueue(std::string_view queue, const advice_policy& times) {
  queue_ = queue;
  times_ = times;
}

void fake_advice::Ask(const std::string& caller, const advice_request& request,
                      const std::function<void(advice_reply)>& done) {
  ++calls_;
  const millis given_up = events_.now() + request.expected + kPatience;
  if (!answers_) return events_.At(given_up, [done, request] { done(Unanswered(request)); });
  // The service also works on calls that nobody waits for any more.
  millis& busy_until = busy_until_[caller];
  const millis work =
      times_.decide + times_.per_worker * static_cast<int64_t>(request.workers.size());
  busy_until = std::max(busy_until, events_.now()) + work * slowness_;
  if (busy_until > given_up) {
    events_.At(busy_until, [this, request] { Answer(request); });
    return events_.At(given_up, [done, request] { done(Unanswered(request)); });
  }
  events_.At(busy_until, [this, request, done] { done(Answer(request)); });
}

advice_reply fake_advice::Unanswered(const advice_request& request) {
  advice_reply reply;
  reply.step = request.step;
  reply.asked = request.workers;
  return reply;
}

advice_reply fake_advice::Answer(const advice_request& request) {
  advice_reply reply = Unanswered(request);
  reply.answered = true;
  reply.valid = times_.valid;
  for (const auto& worker : request.workers) {
    if (allowed_ && !allowed_(request.step, worker)) continue;
    const std::string text = worker + "/" + std::to_string(calls_);
    given_[{request.step, worker}] = {text, events_.now() + times_.valid};
    reply.tickets.emplace_back(worker, text);
  }
  return reply;
}

bool fake_advice::Accepts(std::string_view worker, const start_call& call) {
  const std::string& task = call.run.task;
  if (!jobs_.contains(task.substr(0, task.find('.')))) return true;
  const auto found = given_.find({task.substr(0, task.rfind('.')), std::string(worker)});
  const bool accepted = found != given_.end() && found->second.text == call.run.ticket &&
                        events_.now() < found->second.until;
  if (!accepted) ++starts_refused_;
  return accepted;
}

}  // namespace eelgrass
