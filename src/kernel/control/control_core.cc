#include "kernel/control/control_core.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr millis kFreshBound{2000};  // since the start of the last scan
constexpr millis kTicketPatience{8000};
constexpr millis kDropInterval{60000};
constexpr millis kKeepEnded{86400000};  // ended jobs stay in memory for a day

}  // namespace

control_core::control_core(control_options options, std::unique_ptr<queue_policy> ordering,
                           std::unique_ptr<placement_policy> placement)
    : options_(std::move(options)),
      table_(options_.writes_per_second, options_.scan_interval),
      changes_(table_),
      directory_(options_.self, table_),
      planner_(std::move(ordering), std::move(placement), table_) {}

bool control_core::fresh() const {
  return table_.loaded() && now_ - table_.last_scan() <= kFreshBound && keeper_.version() > 0;
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
  const bool leading = directory_.leading() && !draining_;
  changes_.Tick(wall_now, leading);
  AnswerOutcomes();
  ExpireTickets();
  if (auto doc = keeper_.TakeChanged()) {
    planner_.On(document_changed{doc});
    actions.push_back(document_changed{doc});
  }
  std::vector<send_to_peer> messages;
  planner_.Tick({now, wall_now, leading, fresh()}, messages);
  keeper_.Beat(now, fresh(), leading || table_.store_down(), directory_.Addresses(now));
  for (auto& message : keeper_.messages()) actions.push_back(std::move(message));
  keeper_.messages().clear();
  for (auto& message : messages) actions.push_back(std::move(message));
  if (now >= next_drop_) {
    next_drop_ = now + kDropInterval;
    table_.DropEnded((wall_now - kKeepEnded).count());
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
  const auto* offer = std::get_if<announce>(&event.message);
  const auto known = upstreams_.find(event.peer);
  if (offer == nullptr || known == upstreams_.end()) return;
  known->second.service = offer->service;
  known->second.slots = offer->slots;
  known->second.state = offer->leaving ? "leaving" : "up";
}

void control_core::On(store_answer& event) {
  std::vector<table_event> changes;
  table_.OnAnswer(event, now_, changes);
  for (const auto& change : changes) OnTable(change);
}

void control_core::OnTable(const table_event& event) {
  const bool stored = event.revision > 0;  // otherwise `value` is what we wanted to write
  if (stored) keeper_.On(event);
  if (event.what == table_event::kind::kWritten && event.key == kConfigKey) keeper_.PushAll();
  changes_.On(event);
  if (stored) directory_.On(event, now_);
  if (stored) planner_.On(event);
  AnswerTickets(event);
  SampleEnd(event);
}

void control_core::SampleEnd(const table_event& event) {
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

void control_core::On(operator_order& event) {
  const bool allowed = event.origin.who.is_operator() || event.command->ForOrganisations();
  if (!allowed) {
    Refuse(event.origin, error_kind::kNotFound, "run-command", "there is no such thing");
    return;
  }
  event.command->Run(*this, event.origin);
}

void control_core::On(drain_wanted& /*event*/) { draining_ = true; }

void control_core::Answer(const command_origin& origin, operator_view view) {
  actions_->push_back(operator_answer{origin.caller, std::move(view)});
}

void control_core::Refuse(const command_origin& origin, error_kind kind, std::string_view step,
                          std::string_view detail, document_issues issues) {
  Answer(origin, refusal{{kind, std::string(step), options_.self.id, std::string(detail)},
                         std::move(issues)});
}

void control_core::AnswerWhenWritten(const command_origin& origin, std::string_view key) {
  tickets_.emplace(std::string(key), ticket{origin, now_ + kTicketPatience, false});
}

void control_core::AnswerWhenApplied(const command_origin& origin, std::string_view change) {
  tickets_.emplace("changes/" + std::string(change), ticket{origin, now_ + kTicketPatience, true});
}

void control_core::AnswerTickets(const table_event& event) {
  if (event.what == table_event::kind::kChanged) return;
  const auto [first, last] = tickets_.equal_range(event.key);
  for (auto item = first; item != last;) {
    if (item->second.applies) {
      ++item;
      continue;
    }
    if (event.what == table_event::kind::kWritten) {
      Answer(item->second.origin, ViewOf(event.value));
    } else {
      Refuse(item->second.origin, error_kind::kConflict, "write-row",
             "somebody else changed " + event.key + " first");
    }
    item = tickets_.erase(item);
  }
}

void control_core::AnswerOutcomes() {
  for (const auto& outcome : changes_.TakeOutcomes()) {
    const std::string key = "changes/" + outcome.change;
    const auto [first, last] = tickets_.equal_range(key);
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
    tickets_.erase(first, last);
  }
}

void control_core::ExpireTickets() {
  for (auto item = tickets_.begin(); item != tickets_.end();) {
    if (now_ < item->second.until) {
      ++item;
      continue;
    }
    Refuse(item->second.origin, error_kind::kUnknown, "await-table-service",
           "no answer about " + item->first + " in time; ask again with the same id");
    item = tickets_.erase(item);
  }
}

operator_view control_core::ViewOf(const record& value) const {
  if (const auto* row = std::get_if<job_row>(&value)) {
    return job_detail{*row, planner_.Explain(*row), true};
  }
  if (const auto* change = std::get_if<change_record>(&value)) return change_detail{*change};
  return refusal{{error_kind::kInvalid, "show-row", "", "nothing to show"}, {}};
}

std::vector<upstream_line> control_core::Upstreams() const {
  std::vector<upstream_line> lines;
  for (const auto& [id, line] : upstreams_) lines.push_back(line);
  return lines;
}

status_detail control_core::Status() const {
  status_detail status;
  status.entry = options_.self.id;
  status.planner = directory_.holder();
  status.version = keeper_.version();
  status.store_down = table_.store_down();
  status.fresh = fresh();
  status.upstreams = static_cast<int>(upstreams_.size());
  status.workers = static_cast<int>(planner_.machines().workers().size());
  status.jobs = planner_.stats();
  status.entries = directory_.Live(now_);
  for (const auto& cell : planner_.ledger().cells()) {
    const auto same = [&](const guarantee_line& line) {
      return line.organisation == cell.organisation && line.shape == cell.shape &&
             line.within == AdjacencyName(cell.within);
    };
    auto line = std::find_if(status.guarantees.begin(), status.guarantees.end(), same);
    if (line == status.guarantees.end()) {
      status.guarantees.push_back(
          {cell.organisation, cell.shape, std::string(AdjacencyName(cell.within)), 0, 0});
      line = status.guarantees.end() - 1;
    }
    ++line->cells;
    if (cell.suspended()) ++line->suspended;
  }
  return status;
}

}  // namespace eelgrass
