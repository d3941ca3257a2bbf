#include "tests/world/job_world.h"

#include <algorithm>

#include "kernel/control/change_request.h"
#include "kernel/control/commands/apply_change_command.h"
#include "kernel/control/commands/set_domain_command.h"
#include "kernel/control/commands/submit_job_command.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

constexpr millis kEntryTick{50};
constexpr millis kAgentTick{100};
constexpr millis kWake{1};
constexpr millis kDomainBound{2000};       // no start later than this after a domain went out
constexpr int64_t kPartialBoundMs = 7000;  // two leases and a second: the anchor's and the worker's
constexpr millis kCheckInterval{500};
constexpr int kWritesPerSecond = 100;
constexpr millis kScanInterval{500};

}  // namespace

job_world::job_world(world_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      network_(events_, options_.seed + 1),
      store_(events_, options_.seed + 2) {}

job_world::~job_world() = default;

void job_world::StartEntry(const std::string& id) {
  control_options control;
  control.self = {id, ++last_incarnation_, id, "d"};
  control.writes_per_second = kWritesPerSecond;
  control.scan_interval = kScanInterval;
  auto ordering = queue_registry::Instance().Create(options_.ordering);
  auto placement = placement_registry::Instance().Create(options_.placement);
  entry_state& state = entries_[id];
  const uint64_t generation = state.generation + 1;
  state = entry_state{};
  state.generation = generation;
  state.core = std::make_unique<control_core>(control, std::move(ordering.value()),
                                              std::move(placement.value()));
  hello self{id, last_incarnation_, peer_role::kEntry, id, "d", {}, {}};
  network_.Join(self, [this, id](link_event event) {
    std::visit(
        [&](auto& e) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(e)>, peer_refused>) {
            entries_.at(id).inbox.emplace_back(std::move(e));
          }
        },
        event);
    Wake(id);
  });
  TickEntry(id, generation);
}

void job_world::TickEntry(const std::string& id, uint64_t generation) {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.generation != generation) return;
  if (!network_.paused(id)) RunEntry(id);
  const millis jitter(static_cast<int64_t>(random_() % 5));
  events_.After(kEntryTick + jitter, [this, id, generation] { TickEntry(id, generation); });
}

void job_world::Wake(const std::string& id) {
  events_.After(kWake, [this, id] {
    if (network_.paused(id)) return;
    const auto entry = entries_.find(id);
    if (entry != entries_.end() && !entry->second.inbox.empty()) RunEntry(id);
    const auto worker = machines_.find(id);
    if (worker != machines_.end() && !worker->second->inbox.empty()) RunMachine(id);
  });
}

void job_world::RunEntry(const std::string& id) {
  entry_state& state = entries_.at(id);
  if (!state.core) return;
  std::vector<control_event> inbox;
  inbox.swap(state.inbox);
  std::vector<control_action> actions;
  state.core->Decide(inbox, events_.now(), WallNow(), actions);
  const int64_t version = state.core->keeper().version();
  if (version < state.highest_version) Violation(id + " went back to an older configuration");
  state.highest_version = std::max(state.highest_version, version);
  const uint64_t generation = state.generation;
  for (auto& action : actions) {
    if (auto* send = std::get_if<send_to_peer>(&action)) {
      network_.Send(id, send->peer, std::move(send->message));
    } else if (auto* call = std::get_if<store_call>(&action)) {
      store_.Submit(*call, [this, id, generation](store_answer answer) {
        const auto found = entries_.find(id);
        if (found == entries_.end() || found->second.generation != generation) return;
        found->second.inbox.emplace_back(std::move(answer));
        Wake(id);
      });
    } else if (auto* answer = std::get_if<addressed_reply>(&action)) {
      const auto* job = std::get_if<job_detail>(&answer->reply);
      if (job != nullptr && job->accepted) {
        const job_class* kind =
            state.core->keeper().current()->FindJobClass(job->job.spec.job_class);
        accepted_[job->job.id] = {job->job.spec.tasks, kind == nullptr || kind->idempotent};
      }
      answers_[answer->caller] = {true, std::move(answer->reply)};
    }
  }
}

void job_world::StartWorker(const std::string& id, const std::string& domain,
                            const std::string& rack, const std::string& region,
                            const resources& capacity) {
  auto item = std::make_unique<machine>();
  item->options = {id, domain, rack, region, capacity};
  item->runtime = std::make_unique<fake_runtime>(id, events_, tasks_);
  machines_[id] = std::move(item);
  StartAgent(id);
}

void job_world::StartDeclaredWorkers(const document& doc) {
  for (const auto& domain : doc.domains) {
    for (const auto& rack : domain.racks) {
      for (int i = 1; i <= rack.workers; ++i) {
        const std::string name = domain.name + "-" + rack.name + "-" + std::to_string(i);
        StartWorker(name, domain.name, domain.name + "/" + rack.name, domain.region, rack.each);
      }
    }
  }
}

void job_world::StartAgent(const std::string& id) {
  machine& item = *machines_.at(id);
  ++item.generation;
  item.inbox.clear();
  item.highest_version = 0;
  item.core = std::make_unique<worker_core>(item.options);
  item.config = std::make_unique<agent_config>(std::vector<std::string>());
  const uint64_t generation = item.generation;
  item.runtime->SetListener([this, id, generation](worker_event event) {
    machine& own = *machines_.at(id);
    if (own.generation != generation || !own.core) return;
    own.inbox.push_back(std::move(event));
    Wake(id);
  });
  hello self{id, ++last_incarnation_, peer_role::kWorkerAgent, id, item.options.domain, {}, {}};
  network_.Join(self, [this, id](link_event event) {
    machine& own = *machines_.at(id);
    std::visit(
        [&](auto& e) {
          using link = std::decay_t<decltype(e)>;
          if constexpr (!std::is_same_v<link, lane_lost> && !std::is_same_v<link, peer_refused>) {
            own.inbox.emplace_back(std::move(e));
          }
        },
        event);
    Wake(id);
  });
  TickMachine(id, generation);
}

void job_world::TickMachine(const std::string& id, uint64_t generation) {
  machine& item = *machines_.at(id);
  if (item.generation != generation || !item.core) return;
  if (!network_.paused(id)) RunMachine(id);
  const millis jitter(static_cast<int64_t>(random_() % 10));
  events_.After(kAgentTick + jitter, [this, id, generation] { TickMachine(id, generation); });
}

void job_world::RunMachine(const std::string& id) {
  machine& item = *machines_.at(id);
  if (!item.core) return;
  std::vector<worker_event> inbox;
  inbox.swap(item.inbox);
  const millis now = events_.now();
  for (const auto& event : inbox) {
    if (const auto* up = std::get_if<peer_up>(&event)) item.config->On(*up);
    if (const auto* down = std::get_if<peer_down>(&event)) item.config->On(*down);
    if (const auto* said = std::get_if<peer_said>(&event)) item.config->On(*said, now);
  }
  item.config->Tick(now);
  if (auto doc = item.config->TakeChanged()) {
    inbox.insert(inbox.begin(), document_changed{doc});
  }
  if (item.config->version() < item.highest_version) {
    Violation(id + " went back to an older configuration");
  }
  item.highest_version = item.config->version();
  for (auto& message : item.config->messages()) {
    network_.Send(id, message.peer, std::move(message.message));
  }
  item.config->messages().clear();
  std::vector<worker_action> actions;
  item.core->Decide(inbox, now, WallNow(), actions);
  for (auto& action : actions) {
    if (auto* send = std::get_if<send_to_peer>(&action)) {
      network_.Send(id, send->peer, std::move(send->message));
    } else if (const auto* start = std::get_if<start_tasks>(&action)) {
      item.runtime->Carry(*start);
    } else if (const auto* open = std::get_if<open_gate>(&action)) {
      item.runtime->Carry(*open);
    } else if (const auto* stop = std::get_if<stop_tasks>(&action)) {
      item.runtime->Carry(*stop);
    } else if (const auto* renew = std::get_if<renew_tasks>(&action)) {
      item.runtime->Carry(*renew);
    }
  }
}

bool job_world::ApplyDocument(const std::string& text) {
  change_request request;
  request.id = "first" + std::to_string(last_ticket_);
  request.text = text;
  const uint64_t ticket =
      Order(entries_.begin()->first, std::make_unique<apply_change_command>(request));
  Run(millis(3000));
  const auto& answer = answers_[ticket];
  return answer.answered && std::holds_alternative<change_detail>(answer.view);
}

void job_world::Run(millis time) {
  const millis until = events_.now() + time;
  while (events_.now() < until) {
    events_.RunUntil(std::min(until, events_.now() + kCheckInterval));
    Check();
  }
}

uint64_t job_world::Order(const std::string& entry, std::unique_ptr<operator_command> command) {
  const uint64_t ticket = ++last_ticket_;
  answers_[ticket] = {};
  const auto found = entries_.find(entry);
  if (found == entries_.end() || !found->second.core) return ticket;
  command_origin origin{ticket, {principal::kind::kOperator, "ana", true}};
  found->second.inbox.emplace_back(submitted_command{origin, std::move(command)});
  Wake(entry);
  return ticket;
}

uint64_t job_world::Submit(const std::string& entry, const job_spec& spec, const std::string& key) {
  return Order(entry, std::make_unique<submit_job_command>(spec, key));
}

void job_world::SetDomain(const std::string& entry, const std::string& domain, bool out,
                          window_mode mode) {
  const std::string id = "domain" + std::to_string(last_ticket_);
  Order(entry, std::make_unique<set_domain_command>(domain, out, mode, id));
}

void job_world::KillEntry(const std::string& id) {
  entry_state& state = entries_.at(id);
  ++state.generation;
  state.core.reset();
  state.inbox.clear();
  network_.Leave(id, random_() % 2 == 0);
}

void job_world::KillAgent(const std::string& id, bool silently) {
  machine& item = *machines_.at(id);
  ++item.generation;
  item.core.reset();
  item.runtime->SetListener(nullptr);
  network_.Leave(id, silently);
}

void job_world::RestartAgent(const std::string& id) { StartAgent(id); }

void job_world::KillMachine(const std::string& id) {
  KillAgent(id, true);
  machines_.at(id)->runtime->Die();
}

void job_world::Pause(const std::string& id) { network_.Pause(id); }

void job_world::Resume(const std::string& id) {
  network_.Resume(id);
  Wake(id);
}

control_core* job_world::entry(const std::string& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : found->second.core.get();
}

std::string job_world::leader() const {
  for (const auto& [id, state] : entries_) {
    if (state.core && state.core->directory().is_planner()) return id;
  }
  return {};
}

std::vector<job_row> job_world::Rows() const {
  std::vector<job_row> rows;
  for (const auto& [key, stored] : store_.rows()) {
    if (const auto* row = std::get_if<job_row>(&stored.value)) rows.push_back(*row);
  }
  return rows;
}

const job_row* job_world::Row(const std::string& id) const {
  const auto found = store_.rows().find("jobs/" + id);
  return found == store_.rows().end() ? nullptr : &std::get<job_row>(found->second.value);
}

int job_world::CountState(job_state state) const {
  int count = 0;
  for (const auto& row : Rows()) count += row.state == state ? 1 : 0;
  return count;
}

bool job_world::AllEnded() const {
  const auto rows = Rows();
  return std::all_of(rows.begin(), rows.end(), [](const auto& row) {
    return IsFinal(row.state) || row.state == job_state::kParked;
  });
}

int64_t job_world::StartDelay(const std::string& job) const {
  const job_row* row = Row(job);
  if (row == nullptr) return -1;
  int64_t first = -1;
  for (const auto& run : tasks_.runs()) {
    if (run.job != job || run.opened_ms == 0) continue;
    if (first < 0 || run.opened_ms < first) first = run.opened_ms;
  }
  const int64_t submitted = row->submitted_ms - virtual_clock::kWallStart.count();
  return first < 0 ? -1 : first - submitted;
}

void job_world::Violation(const std::string& what) {
  if (!known_violations_.insert(what).second) return;
  violations_.push_back("at " + std::to_string(events_.now().count()) + " ms: " + what);
}

const std::vector<std::string>& job_world::Check() {
  CheckGangsNow();
  CheckCapacity();
  CheckGuarantees();
  CheckAccepted();
  CheckDomains();
  return violations_;
}

void job_world::CheckGangsNow() {
  const auto runs = tasks_.runs();
  const auto found = CheckGangs(runs, accepted_, kPartialBoundMs, events_.now().count());
  for (const auto& trace : found.traces) {
    const std::string job = trace.substr(0, trace.find(':'));
    const bool doubled = found.doubled > 0;
    if (!noted_gangs_.insert(job).second) continue;
    Violation(std::string(doubled ? "ran twice " : "ran partially ") + trace);
  }
}

void job_world::CheckCapacity() {
  for (const auto& [id, item] : machines_) {
    if (!item->core) continue;
    const resources used = item->core->members().used();
    if (!used.Fits(item->options.capacity)) Violation(id + " holds more than it has");
  }
}

void job_world::CheckGuarantees() {
  for (const auto& [id, state] : entries_) {
    if (!state.core || !state.core->directory().is_planner() || network_.paused(id)) continue;
    const auto& planner = state.core->planner();
    for (const auto& [worker, view] : planner.machines().workers()) {
      if (view.capacity.empty()) continue;
      if (!planner.ledger().Held(worker).Fits(view.capacity)) {
        Violation("guarantees hold more than " + worker + " has");
      }
      if (!view.own.Fits(view.capacity)) {
        Violation("jobs that cannot be stopped fill more than " + worker + " has");
      }
    }
  }
}

void job_world::CheckAccepted() {
  for (const auto& [job, expected] : accepted_) {
    const job_row* row = Row(job);
    if (row == nullptr) {
      Violation("job " + job + " was accepted and is gone");
      continue;
    }
    if (expected.idempotent) continue;
    std::set<int64_t> epochs;
    for (const auto& run : tasks_.runs()) {
      if (run.job == job && run.opened_ms > 0) epochs.insert(run.epoch);
    }
    const bool again = epochs.size() > 1 && row->saved_ms == 0;
    if (again) Violation("job " + job + " must not run twice and did");
  }
}

void job_world::CheckDomains() {
  const auto config = store_.rows().find(std::string(kConfigKey));
  if (config == store_.rows().end()) return;
  if (config->second.revision != document_revision_) {
    auto doc = ParseDocument(std::get<config_record>(config->second.value).text);
    if (!doc) return;
    document_ = std::move(doc.value());
    document_revision_ = config->second.revision;
  }
  for (const auto& domain : document_.domains) {
    if (document_.IsOut(domain.name, WallNow())) {
      domain_out_since_.try_emplace(domain.name, events_.now());
    } else {
      domain_out_since_.erase(domain.name);
    }
  }
  const auto runs = tasks_.runs();
  for (; checked_runs_ < runs.size(); ++checked_runs_) {
    const auto& run = runs[checked_runs_];
    const auto since = domain_out_since_.find(machines_.at(run.worker)->options.domain);
    if (since == domain_out_since_.end()) continue;
    const bool late = millis(run.started_ms) - since->second > kDomainBound;
    if (late) Violation("a task started in " + since->first + " long after it went out");
  }
}

}  // namespace eelgrass
