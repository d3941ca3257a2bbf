#include "kernel/control/control_core.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kMaxScanAge{2000};  // measured from the start of the last scan
constexpr millis kReplyTimeout{8000};
constexpr millis kEndedJobSweepInterval{60000};
constexpr millis kEndedJobRetention{86400000};  // ended jobs stay in memory for one day

}  // namespace

control_core::control_core(control_options options, std::unique_ptr<queue_policy> ordering,
                           std::unique_ptr<placement_policy> placement)
    : options_(std::move(options)),
      table_(options_.writes_per_second, options_.scan_interval),
      changes_(table_),
      directory_(options_.self, table_),
      planner_(std::move(ordering), std::move(placement), table_) {}

bool control_core::up_to_date() const {
  return table_.loaded() && now_ - table_.last_scan() <= kMaxScanAge && keeper_.version() > 0;
}

void control_core::Decide(std::span<control_event> events, millis now, millis wall_now,
                          std::vector<control_action>& actions) {
  actions_ = &actions;
  now_ = now;
  wall_now_ = wall_now;
  for (auto& event : events) {
    std::visit([this](auto& e) { On(e); }, event);
  }
  directory_.Tick(now, keeper_.version(), draining_);
  const bool leading = directory_.is_planner() && !draining_;
  changes_.Tick(wall_now, leading);
  AnswerChangeOutcomes();
  ExpirePendingReplies();
  if (auto doc = keeper_.TakeChanged()) {
    planner_.On(document_changed{doc});
    actions.push_back(document_changed{doc});
  }
  std::vector<send_to_peer> messages;
  planner_.Tick({now, wall_now, leading, up_to_date()}, messages);
  keeper_.Beat(now, up_to_date(), leading || table_.store_down(), directory_.Addresses(now));
  for (auto& message : keeper_.messages()) actions.push_back(std::move(message));
  keeper_.messages().clear();
  for (auto& message : messages) actions.push_back(std::move(message));
  if (now >= next_sweep_) {
    next_sweep_ = now + kEndedJobSweepInterval;
    table_.DropEnded((wall_now - kEndedJobRetention).count());
  }
  std::vector<store_call> calls;
  table_.Due(now, calls);
  for (auto& call : calls) actions.push_back(std::move(call));
  actions_ = nullptr;
}

void control_core::On(peer_up& event) {
  keeper_.On(event, now_);
  planner_.On(event, now_);
  if (event.peer.role != peer_role::kUpstreamAgent) return;
  upstreams_[event.peer.id] = {event.peer.id, {}, event.peer.domain, "up", 0};
}

void control_core::On(lane_lost& /*event*/) {}

void control_core::On(peer_down& event) {
  keeper_.On(event);
  planner_.On(event, now_);
  const auto known = upstreams_.find(event.peer);
  if (known != upstreams_.end()) known->second.state = "lost";
}

void control_core::On(peer_said& event) {
  keeper_.On(event, now_);
  planner_.On(event, now_, wall_now_);
  const auto* announcement = std::get_if<announce>(&event.message);
  const auto known = upstreams_.find(event.peer);
  if (announcement == nullptr || known == upstreams_.end()) return;
  known->second.service = announcement->service;
  known->second.slots = announcement->slots;
  known->second.state = announcement->leaving ? "leaving" : "up";
}

void control_core::On(store_answer& event) {
  std::vector<table_event> changes;
  table_.OnAnswer(event, now_, changes);
  for (const auto& change : changes) OnTableEvent(change);
}

void control_core::OnTableEvent(const table_event& event) {
  const bool stored = event.revision > 0;  // otherwise `value` is the row to be written
  if (stored) keeper_.On(event);
  if (event.what == table_event::kind::kWritten && event.key == kConfigKey) keeper_.PushAll();
  changes_.On(event);
  if (stored) directory_.On(event, now_);
  if (stored) planner_.On(event);
  ResolvePendingReplies(event);
  RecordJobOutcome(event);
}

void control_core::RecordJobOutcome(const table_event& event) {
  const auto* row = std::get_if<job_row>(&event.value);
  const bool ended = row != nullptr && event.what == table_event::kind::kWritten &&
                     IsFinal(row->state) && row->state != job_state::kCancelled;
  if (!ended) return;
  const bool good = row->state == job_state::kFinished;
  const std::string worker = row->failed_workers.empty() ? "" : row->failed_workers.back();
  const millis latency(row->ended_ms - row->submitted_ms);
  actions_->push_back(burn_sample{row->spec.organisation, row->spec.job_class, good, latency,
                                  good ? "" : "run-job", worker});
}

void control_core::On(submitted_command& event) {
  const bool allowed = event.origin.who.is_operator() || event.command->AllowedForOrganisations();
  if (!allowed) {
    Refuse(event.origin, error_kind::kNotFound, "run-command",
           "the requested resource does not exist");
    return;
  }
  event.command->Run(*this, event.origin);
}

void control_core::On(drain_wanted& /*event*/) { draining_ = true; }

void control_core::Answer(const command_origin& origin, operator_reply reply) {
  actions_->push_back(addressed_reply{origin.caller, std::move(reply)});
}

void control_core::Refuse(const command_origin& origin, error_kind kind, std::string_view step,
                          std::string_view detail, document_issues issues) {
  Answer(origin, refusal{{kind, std::string(step), options_.self.id, std::string(detail)},
                         std::move(issues)});
}

void control_core::AnswerWhenWritten(const command_origin& origin, std::string_view key) {
  pending_replies_.emplace(std::string(key), pending_reply{origin, now_ + kReplyTimeout, false});
}

void control_core::AnswerWhenApplied(const command_origin& origin, std::string_view change) {
  pending_replies_.emplace("changes/" + std::string(change),
                           pending_reply{origin, now_ + kReplyTimeout, true});
}

void control_core::ResolvePendingReplies(const table_event& event) {
  if (event.what == table_event::kind::kChanged) return;
  const auto [first, last] = pending_replies_.equal_range(event.key);
  for (auto item = first; item != last;) {
    if (item->second.awaits_apply) {
      ++item;
      continue;
    }
    if (event.what == table_event::kind::kWritten) {
      Answer(item->second.origin, ReplyFor(event.value));
    } else {
      Refuse(item->second.origin, error_kind::kConflict, "write-row",
             "another writer changed " + event.key + " first");
    }
    item = pending_replies_.erase(item);
  }
}

void control_core::AnswerChangeOutcomes() {
  for (const auto& outcome : changes_.TakeOutcomes()) {
    const std::string key = "changes/" + outcome.change;
    const auto [first, last] = pending_replies_.equal_range(key);
    for (auto item = first; item != last; ++item) {
      if (outcome.applied) {
        change_detail detail;
        const change_record* change = changes_.Find(outcome.change);
        if (change != nullptr) detail.change = *change;
        Answer(item->second.origin, std::move(detail));
      } else {
        Answer(item->second.origin, refusal{outcome.problem, {}});
      }
    }
    pending_replies_.erase(first, last);
  }
}

void control_core::ExpirePendingReplies() {
  for (auto item = pending_replies_.begin(); item != pending_replies_.end();) {
    if (now_ < item->second.deadline) {
      ++item;
      continue;
    }
    Refuse(item->second.origin, error_kind::kUnknown, "await-table-service",
           "the table service did not confirm " + item->first + " in time; retry with the same id");
    item = pending_replies_.erase(item);
  }
}

operator_reply control_core::ReplyFor(const record& value) const {
  if (const auto* row = std::get_if<job_row>(&value)) {
    return job_detail{*row, planner_.Explain(*row), true};
  }
  if (const auto* change = std::get_if<change_record>(&value)) return change_detail{*change};
  return refusal{{error_kind::kInvalid, "show-row", "", "the row is neither a job nor a change"},
                 {}};
}

std::vector<upstream_summary> control_core::Upstreams() const {
  std::vector<upstream_summary> summaries;
  for (const auto& [id, upstream] : upstreams_) summaries.push_back(upstream);
  return summaries;
}

status_detail control_core::Status() const {
  status_detail status;
  status.entry = options_.self.id;
  status.planner = directory_.holder();
  status.version = keeper_.version();
  status.store_down = table_.store_down();
  status.fresh = up_to_date();
  status.upstreams = static_cast<int>(upstreams_.size());
  status.workers = static_cast<int>(planner_.machines().workers().size());
  status.jobs = planner_.stats();
  status.entries = directory_.Live(now_);
  for (const auto& cell : planner_.ledger().cells()) {
    const auto same = [&](const guarantee_summary& summary) {
      return summary.organisation == cell.organisation && summary.shape == cell.shape &&
             summary.within == AdjacencyName(cell.within);
    };
    auto summary = std::find_if(status.guarantees.begin(), status.guarantees.end(), same);
    if (summary == status.guarantees.end()) {
      status.guarantees.push_back(
          {cell.organisation, cell.shape, std::string(AdjacencyName(cell.within)), 0, 0});
      summary = status.guarantees.end() - 1;
    }
    ++summary->cells;
    if (cell.suspended()) ++summary->suspended;
  }
  return status;
}

}  // namespace eelgrass
