#include "standins/standin_runner.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "kernel/model/batch_job.h"

namespace eelgrass {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(task_behavior, work_ms, gang, fails)

namespace {

/** Where a worker's clock begins: not zero, so that a missing clock shows. */
constexpr int64_t kClockOrigin = 100000;

constexpr int64_t kPercent = 100;

/** A run that is done but for the other members of its gang lists this. */
constexpr int64_t kWaitingPercent = 99;

/** Work is reckoned in fractions of a millisecond; this is far below one. */
constexpr double kRounding = 1e-6;

/** Ends in one answer, by the platform's interface. */
constexpr size_t kMostListedEnds = 500;

task_behavior BehaviorOf(std::string_view task, std::string_view spec) {
  task_ref ref;
  const auto tree = nlohmann::json::parse(spec.begin(), spec.end(), nullptr, false);
  if (!ParseTask(task, ref) || !tree.is_array()) return {};
  const auto step = static_cast<size_t>(ref.step);
  return step < tree.size() ? tree[step].get<task_behavior>() : task_behavior{};
}

/** A checkpoint's text is the work that it keeps. */
int64_t WorkIn(const std::string& saved) { return saved.empty() ? 0 : std::stoll(saved); }

}  // namespace

std::string BehaviorText(const std::vector<task_behavior>& steps) {
  return nlohmann::json(steps).dump();
}

void work_clock::SetTimePercent(int time_percent, millis now) {
  before_ = At(now);
  since_ = now;
  time_percent_ = time_percent;
}

double work_clock::At(millis now) const {
  return before_ + static_cast<double>((now - since_).count() * kPercent) / time_percent_;
}

int64_t work_span::DoneAt(millis now) const {
  return done_ms + static_cast<int64_t>(std::floor(clock->At(now) - began + kRounding));
}

void standin_gangs::gang::Begin(millis now) {
  complete = true;
  for (auto& [task, work] : members) work.began = work.clock->At(now);
}

int64_t standin_gangs::gang::DoneAt(millis now) const {
  int64_t least = INT64_MAX;
  for (const auto& [task, work] : members) {
    least = std::min(least, complete ? work.DoneAt(now) : work.done_ms);
  }
  return least;
}

standin_gangs::gang& standin_gangs::Get(std::string_view task, int64_t run) {
  return gangs_[{std::string(task.substr(0, task.rfind('.'))), run}];
}

standin_runner::standin_runner(worker_identity self, runner_options options, standin_gangs& gangs,
                               runner_observer observe, millis now)
    : self_(std::move(self)),
      options_(options),
      work_(std::make_shared<work_clock>(options.time_percent, now)),
      gangs_(gangs),
      observe_(std::move(observe)),
      started_(now) {}

int64_t standin_runner::ClockAt(millis now) const {
  return kClockOrigin + (now - started_).count();
}

millis standin_runner::LeaseLeft(millis now) const {
  return std::max(millis(0), millis(deadline_ms_ - ClockAt(now)));
}

bool standin_runner::TakeFence(int64_t fence) {
  if (fence < fence_) return false;
  fence_ = fence;
  return true;
}

void standin_runner::TakeDeadline(int64_t deadline_ms) {
  deadline_ms_ = std::max(deadline_ms_, deadline_ms);
}

call_outcome standin_runner::Start(const start_call& call, millis now, start_refusal& refusal,
                                   bool late) {
  Advance(now);
  const run_ref ref{call.run.task, call.run.run};
  const auto refuse = [&](start_refusal reason) {
    refusal = reason;
    return call_outcome::kRefused;
  };
  if (!TakeFence(call.fence)) return refuse(start_refusal::kFence);
  const int64_t deadline = std::min(call.deadline_ms, ClockAt(now) + options_.longest_hold.count());
  if (deadline <= ClockAt(now)) return refuse(start_refusal::kLate);
  TakeDeadline(deadline);
  if (runs_.contains(ref)) return call_outcome::kDone;
  const auto barred = barred_.find(ref.task);
  if (barred != barred_.end() && ref.run <= barred->second) return refuse(start_refusal::kOld);
  run_state run;
  run.task = ref.task;
  run.run = ref.run;
  run.spec = call.run.spec;
  run.behavior = BehaviorOf(ref.task, call.run.spec);
  run.work = {work_, work_->At(now), WorkIn(call.run.saved)};
  run.bad = sick_ || gangs_.CountRun(ref.task) <= run.behavior.fails;
  if (run.behavior.gang > 0) {
    auto& gang = gangs_.Get(ref.task, ref.run);
    if (gang.first_at == millis(0)) gang.first_at = now;
    gang.members[ref.task] = run.work;
    if (static_cast<int>(gang.members.size()) == run.behavior.gang) gang.Begin(now);
  }
  runner_event started = MakeEvent(runner_event::kind::kStarted, run, now, 0, run_end::kDone);
  started.late = late;
  observe_(started);
  runs_.emplace(ref, std::move(run));
  return call_outcome::kDone;
}

call_outcome standin_runner::Stop(const stop_call& call, millis now) {
  Advance(now);
  if (!TakeFence(call.fence)) return call_outcome::kRefused;
  int64_t& barred = barred_[call.run.task];
  barred = std::max(barred, call.run.run);
  const auto found = runs_.find(call.run);
  if (found != runs_.end() && found->second.stop_at == millis(0)) {
    found->second.stop_at = now + options_.stop_time;
  }
  return call_outcome::kDone;
}

void standin_runner::Hold(const hold_call& call, millis now) {
  Advance(now);
  if (!TakeFence(call.fence)) return;
  if (call.deadline_ms > 0) {
    TakeDeadline(std::min(call.deadline_ms, ClockAt(now) + options_.longest_hold.count()));
  }
  for (const auto& end : ended_) {
    if (end.number > seen_upto_ && end.number <= call.seen_upto) {
      run_state run;
      run.task = end.task;
      run.run = end.run;
      runner_event seen = MakeEvent(runner_event::kind::kSeen, run, now, end.number, end.how);
      seen.lapsed = end.number <= lapsed_upto_;
      observe_(seen);
    }
  }
  seen_upto_ = std::max(seen_upto_, call.seen_upto);
  std::erase_if(ended_, [this](const listed_end& end) { return end.number <= seen_upto_; });
}

void standin_runner::Lists(millis now, hold_answer& answer) const {
  answer.clock_ms = ClockAt(now);
  answer.born_ms = self_.born_ms;
  for (const auto& [ref, run] : runs_) {
    const int64_t kept =
        WorkDone(run, now) / options_.checkpoint.count() * options_.checkpoint.count();
    answer.running.push_back(
        {ref.task, ref.run, kept > 0 ? std::to_string(kept) : "", Percent(run, now), 0});
  }
  const size_t listed = std::min(ended_.size(), kMostListedEnds);
  answer.ended.assign(ended_.begin(), ended_.begin() + static_cast<ptrdiff_t>(listed));
  answer.more_ends = listed == kMostListedEnds;
}

bool standin_runner::HasEndAfter(int64_t seen_upto) const {
  return std::any_of(ended_.begin(), ended_.end(),
                     [&](const listed_end& end) { return end.number > seen_upto; });
}

/** The work that the run has done; that of a gang is what all its members have done. */
int64_t standin_runner::WorkDone(const run_state& run, millis now) const {
  return run.behavior.gang > 0 ? gangs_.Get(run.task, run.run).DoneAt(now) : run.work.DoneAt(now);
}

/** What is listed: a member of a gang works at its own speed, and waits when it is done. */
int64_t standin_runner::Percent(const run_state& run, millis now) const {
  if (!options_.lists_progress || run.behavior.work_ms <= 0) return kPercent;
  int64_t done = run.work.DoneAt(now);
  if (run.behavior.gang > 0) {
    const auto& gang = gangs_.Get(run.task, run.run);
    const work_span& work = gang.members.at(run.task);
    done = gang.complete ? work.DoneAt(now) : work.done_ms;
  }
  return std::min(kWaitingPercent, done * kPercent / run.behavior.work_ms);
}

void standin_runner::AdvanceRun(const run_ref& ref, run_state& run, millis now,
                                std::vector<std::pair<run_ref, run_end>>& ends) {
  if (run.stop_at > millis(0) && now >= run.stop_at) {
    ends.emplace_back(ref, run_end::kStopped);
    return;
  }
  const bool member = run.behavior.gang > 0;
  if (member) {
    const auto& gang = gangs_.Get(run.task, run.run);
    if (gang.done || gang.broken) {
      ends.emplace_back(ref, gang.done ? run_end::kDone : run_end::kBroken);
      return;
    }
    if (!gang.complete) {
      const bool alone = now - gang.first_at > options_.gang_timeout;
      if (alone) ends.emplace_back(ref, run_end::kAlone);
      return;
    }
  }
  const int64_t done = WorkDone(run, now);
  if (run.bad && done >= run.behavior.work_ms / 2) {
    ends.emplace_back(ref, run_end::kFailed);
  } else if (done >= run.behavior.work_ms) {
    ends.emplace_back(ref, run_end::kDone);
  }
}

void standin_runner::Advance(millis now) {
  std::vector<std::pair<run_ref, run_end>> ends;
  const bool lapsed = deadline_ms_ > 0 && ClockAt(now) > deadline_ms_;
  for (auto& [ref, run] : runs_) {
    if (lapsed) {
      ends.emplace_back(ref, run_end::kLapsed);
    } else {
      AdvanceRun(ref, run, now, ends);
    }
  }
  if (lapsed) lapsed_upto_ = last_number_;
  for (const auto& [ref, how] : ends) End(ref, how, now);
}

void standin_runner::End(const run_ref& ref, run_end how, millis now) {
  const auto found = runs_.find(ref);
  const run_state run = found->second;
  runs_.erase(found);
  int64_t& barred = barred_[ref.task];
  barred = std::max(barred, ref.run);
  if (run.behavior.gang > 0) {
    auto& gang = gangs_.Get(run.task, run.run);
    (how == run_end::kDone ? gang.done : gang.broken) = true;
  }
  const int64_t kept = how == run_end::kStopped ? WorkDone(run, now) : 0;
  ++last_number_;
  observe_(MakeEvent(runner_event::kind::kEnded, run, now, last_number_, how));
  if (last_number_ <= seen_upto_) {  // by a hold to a former incarnation, carried out here
    return observe_(MakeEvent(runner_event::kind::kSeen, run, now, last_number_, how));
  }
  ended_.push_back({last_number_, ref.task, ref.run, how, kept > 0 ? std::to_string(kept) : ""});
}

void standin_runner::Die(millis now) {
  for (const auto& [ref, run] : runs_) {
    if (run.behavior.gang > 0) gangs_.Get(run.task, run.run).broken = true;
  }
  runs_.clear();
  ended_.clear();
  observe_(MakeEvent(runner_event::kind::kDied, run_state{}, now, 0, run_end::kDone));
}

runner_event standin_runner::MakeEvent(runner_event::kind what, const run_state& run, millis now,
                                       int64_t number, run_end how) const {
  runner_event event;
  event.what = what;
  event.worker = self_.id;
  event.born_ms = self_.born_ms;
  event.task = run.task;
  event.run = run.run;
  event.number = number;
  event.how = how;
  event.spec = run.spec;
  event.at = now;
  return event;
}

}  // namespace eelgrass
