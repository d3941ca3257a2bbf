#include "tests/world/fake_worker.h"

#include <utility>

namespace eelgrass {
namespace {

constexpr millis kWorkerTime{2};
constexpr millis kBeat{1500};
constexpr millis kShortestAnnouncement{85};
constexpr millis kOrderTimeout{500};
constexpr millis kHoldSlack{700};  // of an agent's patience beyond the wait of its hold
constexpr millis kHoldLook{10};
constexpr millis kShortestDelay{2000};
constexpr millis kLongestDelay{12000};
constexpr int kVmsPerRack = 3;

}  // namespace

fake_worker::fake_worker(worker_site site, timeline& events, draws& random,
                         const worker_faults& faults, standin_gangs& gangs, runner_observer observe,
                         worker_agent_side& agent)
    : site_(std::move(site)),
      events_(events),
      random_(random),
      announcements_(site_.seed),
      faults_(faults),
      gangs_(gangs),
      observe_(std::move(observe)),
      agent_(agent) {}

void fake_worker::Start() {
  born_ms_ = site_.day_ms + (now() + clock_step_).count();
  sequence_ = 0;
  draining_ = false;
  leaves_at_ = millis(0);
  std::string id = "worker-" + std::to_string(site_.vm) + "-" + std::to_string(born_ms_);
  if (!next_id_.empty()) id = std::exchange(next_id_, {});
  runner_ = std::make_unique<standin_runner>(worker_identity{id, born_ms_}, site_.options, gangs_,
                                             observe_, now());
  BeatAfter(announcements_.Between(kShortestAnnouncement, faults_.longest_announcement));
}

void fake_worker::StartAs(std::string id) {
  next_id_ = std::move(id);
  Start();
}

void fake_worker::Advance() {
  if (runner_ != nullptr) runner_->Advance(now());
}

bool fake_worker::Is(const worker_identity& meant) const {
  return runner_ != nullptr && runner_->self().id == meant.id;
}

void fake_worker::Beat() {
  if (runner_ == nullptr) return;
  runner_->Advance(now());
  if (agent_.life() != 0) {
    last_beat_ = MakeBeat();
    agent_.Tell(last_beat_);
  }
  BeatAfter(kBeat);
}

void fake_worker::BeatAfter(millis delay) {
  events_.After(delay, [this, born = born_ms_] {
    if (runner_ != nullptr && born_ms_ == born) Beat();
  });
}

worker_heartbeat fake_worker::MakeBeat() {
  worker_heartbeat beat;
  beat.worker.self = runner_->self();
  beat.worker.service = "drying";
  beat.worker.domain = site_.domain;
  beat.worker.rack = "rack-" + std::to_string(site_.vm / kVmsPerRack);
  beat.worker.address = site_.agent + ":8000";
  if (faults_.vm_named) beat.worker.vm = "vm-" + std::to_string(site_.vm);
  beat.worker.capacity = site_.options.capacity;
  beat.worker.labels = {"a", beat.worker.rack};
  beat.worker.draining = draining_;
  if (leaves_at_ > millis(0)) beat.worker.remaining_ms = (leaves_at_ - now()).count();
  beat.sequence = ++sequence_;
  beat.clock_ms = runner_->ClockAt(now());
  return beat;
}

/** Gives an answer to the process that has asked, if it is still there. */
template <typename Answer>
void fake_worker::Reply(Answer answer, millis delay) {
  events_.After(delay, [this, life = agent_.life(), answer = std::move(answer)] {
    if (life != 0 && agent_.life() == life) agent_.Tell(answer);
  });
}

void fake_worker::Call(const hold_call& call) {
  hold_answer answer;
  answer.worker = call.worker;
  answer.fence = call.fence;
  answer.sent = call.sent;
  const bool refused = runner_ == nullptr || refusing_;
  if (refused || !Is(call.worker)) {
    answer.outcome = refused ? call_outcome::kConnectionRefused : call_outcome::kOtherIncarnation;
    return WaitForEnd(call, answer, millis(0));
  }
  if (faults_.late_holds > 0 && random_.Chance(faults_.late_holds)) return HoldLate(call, answer);
  runner_->Hold(call, now());
  WatchLease();
  answer.born_ms = runner_->self().born_ms;
  answer.outcome = call.fence < runner_->fence() ? call_outcome::kRefused : call_outcome::kDone;
  WaitForEnd(call, answer, now() + call.wait);
}

/** The call gets no answer and is carried out seconds later. */
void fake_worker::HoldLate(const hold_call& call, hold_answer answer) {
  events_.After(random_.Between(kShortestDelay, kLongestDelay), [this, call] {
    if (!Is(call.worker)) return;
    runner_->Hold(call, now());
    WatchLease();
  });
  answer.outcome = call_outcome::kNoAnswer;
  Reply(std::move(answer), call.wait + kHoldSlack);
}

void fake_worker::WatchLease() {
  constexpr millis kPast{1};  // a lease has lapsed when its end is past
  events_.After(runner_->LeaseLeft(now()) + kPast, [this, born = born_ms_] {
    if (runner_ != nullptr && born_ms_ == born) runner_->Advance(now());
  });
}

void fake_worker::WaitForEnd(const hold_call& call, hold_answer answer, millis until) {
  const bool there = Is(call.worker) && runner_->self().born_ms == answer.born_ms;
  if (there) runner_->Advance(now());
  // The connection to a process that ends breaks.
  if (!there && answer.outcome == call_outcome::kDone) {
    answer.outcome = call_outcome::kNoAnswer;
    answer.born_ms = 0;
  }
  const bool wait = there && answer.outcome == call_outcome::kDone && now() < until &&
                    !runner_->HasEndAfter(call.seen_upto);
  if (wait) {
    events_.After(kHoldLook, [this, life = agent_.life(), call, answer, until] {
      if (life != 0 && agent_.life() == life) WaitForEnd(call, answer, until);
    });
    return;
  }
  if (there && answer.outcome == call_outcome::kDone) runner_->Lists(now(), answer);
  if (mute_) answer.outcome = call_outcome::kNoAnswer;
  Reply(std::move(answer), mute_ ? kOrderTimeout : kWorkerTime);
}

/** Has an order carried out and answered, or without an answer and seconds later. */
template <typename Answer, typename Carry>
void fake_worker::Order(Answer answer, const Carry& carry) {
  millis delay = kWorkerTime;
  if (refusing_) {
    answer.outcome = call_outcome::kConnectionRefused;
    return Reply(std::move(answer), delay);
  }
  if (random_.Chance(faults_.late_orders)) {
    events_.After(random_.Between(kShortestDelay, kLongestDelay),
                  [carry, answer]() mutable { carry(answer, true); });
    answer.outcome = call_outcome::kNoAnswer;
    delay = kOrderTimeout;
  } else {
    carry(answer, false);
    if (mute_) {
      answer.outcome = call_outcome::kNoAnswer;
      delay = kOrderTimeout;
    }
  }
  Reply(std::move(answer), delay);
}

void fake_worker::Call(const start_call& call) {
  start_answer answer{call.worker, {call.run.task, call.run.run}, call.fence};
  Order(std::move(answer), [this, call](start_answer& out, bool late) {
    if (!Is(call.worker)) {
      out.outcome = call_outcome::kNeverSent;
      return;
    }
    if (faults_.accepts_ticket && !faults_.accepts_ticket(call.worker.id, call)) {
      out.outcome = call_outcome::kRefused;
      out.refusal = start_refusal::kTicket;
      return;
    }
    out.outcome = runner_->Start(call, now(), out.refusal, late);
    WatchLease();
  });
}

void fake_worker::Call(const stop_call& call) {
  stop_answer answer{call.worker, call.run, call.fence, call_outcome::kNeverSent};
  Order(std::move(answer), [this, call](stop_answer& out, bool) {
    out.outcome = Is(call.worker) ? runner_->Stop(call, now()) : call_outcome::kNeverSent;
  });
}

void fake_worker::Crash(millis down) {
  if (runner_ == nullptr) return;
  former_beat_ = last_beat_;
  ++former_beat_.sequence;
  runner_->Die(now());
  runner_.reset();
  events_.After(down, [this] {
    if (runner_ == nullptr) Start();
  });
}

void fake_worker::Restart(millis down, millis clock_step) {
  if (runner_ == nullptr) return;
  clock_step_ += clock_step;
  next_id_ = runner_->self().id;
  Crash(down);
}

void fake_worker::LateBeat() {
  if (agent_.life() != 0 && !former_beat_.worker.self.id.empty()) agent_.Tell(former_beat_);
}

void fake_worker::LateLeave(bool dated) {
  const worker_identity& former = former_beat_.worker.self;
  if (agent_.life() == 0 || former.id.empty()) return;
  agent_.Tell(worker_departure{former.id, dated ? former.born_ms : 0});
}

void fake_worker::Leave(millis away) { LeaveUnheard(kWorkerTime, away); }

void fake_worker::LeaveUnheard(millis linger, millis away) {
  if (runner_ == nullptr) return;
  if (agent_.life() != 0) agent_.Tell(worker_departure{runner_->self().id});
  events_.After(linger, [this, away] { Crash(away); });
}

void fake_worker::SetTimePercent(int time_percent) {
  site_.options.time_percent = time_percent;
  if (runner_ != nullptr) runner_->SetTimePercent(time_percent, now());
}

void fake_worker::Drain() {
  draining_ = true;
  Beat();
}

void fake_worker::TakeAway(millis notice, millis away) {
  leaves_at_ = now() + notice;
  Drain();
  events_.After(notice, [this, away] { Crash(away); });
}

}  // namespace eelgrass
