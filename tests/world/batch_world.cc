#include "tests/world/batch_world.h"

#include <algorithm>
#include <utility>

namespace eelgrass {
namespace {

constexpr millis kTick{50};
constexpr millis kNetwork{1};
constexpr millis kListTime{8};
constexpr millis kReloadTime{500};
constexpr int64_t kWallOrigin = 1700000000000;

}  // namespace

batch_job MakeBatchJob(std::string_view id, std::string_view queue, int tasks, millis work,
                       int64_t accelerators, bool gang) {
  batch_job job;
  job.id = std::string(16 - id.size(), '0') + std::string(id);
  job.queue = queue;
  job.organisation = "shops";
  batch_step step;
  step.count = tasks;
  step.each = {1000, 1000, accelerators};
  step.estimate = work;
  step.gang = gang;
  step.checkpoints = true;
  job.steps.push_back(step);
  job.spec = BehaviorText({{work.count(), gang ? tasks : 0, 0}});
  return job;
}

/** The processes as the store sees them. */
class batch_world::store_doors : public store_callers {
 public:
  explicit store_doors(batch_world& world) : world_(world) {}

  bool Lives(const store_caller& caller) const override {
    const world_process& process = *world_.FindProcess(caller.process);
    return process.alive && process.life == caller.life;
  }

  bool Reaches(const store_caller& caller) const override {
    return world_.links_.ReachesStore(*world_.FindProcess(caller.process));
  }

  bool Refused(const store_caller& caller) const override {
    return world_.links_.RefusedByStore(*world_.FindProcess(caller.process));
  }

  void Answer(const store_caller& caller, store_reply reply, millis delay) override {
    const millis frozen_until = world_.FindProcess(caller.process)->frozen_until;
    const millis at = std::max(world_.now() + delay, frozen_until);
    world_.events_.At(at, [this, caller, reply = std::move(reply)]() mutable {
      if (!Lives(caller)) return;
      if (machine* vm = world_.FindMachine(caller.process)) {
        return world_.ToAgent(*vm, std::move(reply));
      }
      entry_process& same = *world_.FindEntry(caller.process);
      if (caller.gateway) {
        world_.ToGateway(same, std::move(reply));
      } else {
        world_.ToPlanner(same, std::move(reply));
      }
    });
  }

 private:
  batch_world& world_;
};

/** The agent beside a worker. */
class batch_world::agent_door : public worker_agent_side {
 public:
  agent_door(batch_world& world, machine& vm) : world_(world), vm_(vm) {}
  int64_t life() const override { return vm_.alive ? vm_.life : 0; }
  void Tell(agent_event event) override { world_.ToAgentWhenItRuns(vm_, std::move(event)); }

 private:
  batch_world& world_;
  machine& vm_;
};

batch_world::~batch_world() = default;

batch_world::batch_world(batch_world_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      links_(events_, [this](world_process& to, link_event& event) { Take(to, event); }),
      doors_(std::make_unique<store_doors>(*this)),
      store_(events_, random_, *doors_),
      operators_(store_.rows()),
      callers_(events_, check_,
               [this](uint64_t turn, const caller_call& call) { HandIn(turn, call); }),
      advice_(events_) {
  codec_ = std::move(record_codec_registry::Instance().Create("json").value());
  order_ = std::move(unit_order_registry::Instance().Create(options_.order).value());
  for (int i = 0; i < options_.first_entries; ++i) seeds_.push_back(PeerAddress(EntryId(i)));
  for (int i = 0; i < options_.entries; ++i) AddEntry(i);
  for (int i = 0; i < options_.workers; ++i) {
    auto vm = std::make_unique<machine>();
    vm->id = AgentId(i);
    vm->index = i;
    vm->domain = i % kBatchDomains;
    vm->role = peer_role::kWorkerAgent;
    vm->door = std::make_unique<agent_door>(*this, *vm);
    vm->worker = std::make_unique<fake_worker>(
        SiteOf(i), events_, random_, worker_faults_, gangs_,
        [this](const runner_event& event) {
          check_.OnRunner(event);
          if (options_.watcher) options_.watcher(event);
        },
        *vm->door);
    links_.Add(*vm);
    machines_.emplace(i, std::move(vm));
  }
  for (auto& entry : entries_) StartEntry(*entry);
  for (auto& [index, vm] : machines_) {
    StartAgent(*vm);
    vm->worker->Start();
  }
  links_.Begin();
}

/** Callers reach the entries that have not been removed, one after the other. */
void batch_world::HandIn(uint64_t turn, const caller_call& call) {
  std::vector<entry_process*> present;
  for (const auto& entry : entries_) {
    if (!entry->removed) present.push_back(entry.get());
  }
  entry_process& entry = *present.at(turn % present.size());
  if (entry.alive && now() >= entry.frozen_until) ToGateway(entry, call);
}

void batch_world::AddEntry(int domain) {
  auto entry = std::make_unique<entry_process>();
  entry->index = entries();
  entry->id = EntryId(entry->index);
  entry->domain = domain % kBatchDomains;
  if (const auto own = options_.processor.find(entry->index); own != options_.processor.end()) {
    entry->processor = own->second;
  }
  links_.Add(*entry);
  entries_.push_back(std::move(entry));
}

world_process* batch_world::FindProcess(std::string_view id) {
  if (world_process* entry = FindEntry(id)) return entry;
  return FindMachine(id);
}

batch_world::entry_process* batch_world::FindEntry(std::string_view id) {
  for (auto& entry : entries_) {
    if (entry->id == id) return entry.get();
  }
  return nullptr;
}

batch_world::machine* batch_world::FindMachine(std::string_view id) {
  for (auto& [index, vm] : machines_) {
    if (vm->id == id) return vm.get();
  }
  return nullptr;
}

bool batch_world::Plans(int entry) const {
  const entry_process& one = *entries_.at(static_cast<size_t>(entry));
  return one.alive && one.planner->planning();
}

int batch_world::Planner() const {
  for (const auto& entry : entries_) {
    if (Plans(entry->index)) return entry->index;
  }
  return -1;
}

int batch_world::Holder() const {
  const auto read =
      store_.rows().Read(row_range{std::string(kTermTable), "", std::string(kEpochKey)});
  for (const auto& entry : entries_) {
    for (const auto& found : read.rows) {
      if (found.at == EpochRow() && found.value == entry->id) return entry->index;
    }
  }
  return -1;
}

void batch_world::StartEntry(entry_process& entry) {
  entry.alive = true;
  entry.life = ++last_life_;
  gateway_options gateway;
  gateway.node = entry.id;
  gateway.peer_address = PeerAddress(entry.id);
  entry.gateway = std::make_unique<gateway_core>(gateway, operators_, *codec_);
  planner_options planner;
  planner.node = entry.id;
  planner.nonce = entry.id + "-" + std::to_string(entry.life);
  planner.peer_address = PeerAddress(entry.id);
  planner.domain = "domain-" + std::to_string(batch_links::DomainOf(entry));
  planner.processor = entry.processor;
  planner.tracking.grant = millis(4000);
  entry.planner = std::make_unique<planner_core>(planner, *codec_, *order_);
  entry.dialled.insert(seeds_.begin(), seeds_.end());
  for (const auto& other : entries_) {
    if (!options_.discover) entry.dialled.insert(PeerAddress(other->id));
  }
  entry.dialled.erase(PeerAddress(entry.id));
  Tick(entry.id, entry.life);
}

void batch_world::StartAgent(machine& vm) {
  vm.alive = true;
  vm.life = ++last_life_;
  vm.agent = std::make_unique<agent_core>(vm.id, seeds_);
  Tick(vm.id, vm.life);
}

worker_site batch_world::SiteOf(int index) const {
  worker_site site;
  site.vm = index;
  site.domain = "domain-" + std::to_string(index % kBatchDomains);
  site.agent = AgentId(index);
  site.day_ms = kWallOrigin;
  site.seed =
      options_.seed * static_cast<uint64_t>(options_.workers) + static_cast<uint64_t>(index);
  site.options = options_.worker;
  const auto percent = options_.time_percent.find(index);
  if (percent != options_.time_percent.end()) site.options.time_percent = percent->second;
  return site;
}

void batch_world::Tick(const std::string& id, int64_t life) {
  world_process* own = FindProcess(id);
  if (own == nullptr || own->life != life || !own->alive) return;
  if (now() >= own->frozen_until) {
    if (entry_process* entry = FindEntry(id)) {
      std::vector<gateway_action> gateway;
      entry->gateway->Decide({}, now(), gateway);
      CarryOut(*entry, gateway);
      std::vector<planner_action> planner;
      entry->planner->Decide({}, now(), millis(kWallOrigin + now().count()), planner);
      CarryOut(*entry, planner);
    } else if (machine* vm = FindMachine(id)) {
      vm->worker->Advance();
      std::vector<agent_action> actions;
      vm->agent->Decide({}, now(), actions);
      CarryOut(*vm, actions);
    }
  }
  events_.After(kTick, [this, id, life] { Tick(id, life); });
}

void batch_world::Take(const world_process& to, link_event& event) {
  if (const auto* refused = std::get_if<peer_refused>(&event)) {
    if (entry_process* entry = FindEntry(to.id)) ToPlanner(*entry, *refused);
  } else if (const auto* up = std::get_if<peer_up>(&event)) {
    ToAll(to.id, *up);
  } else if (const auto* down = std::get_if<peer_down>(&event)) {
    ToAll(to.id, *down);
  } else if (const auto* said = std::get_if<peer_said>(&event)) {
    ToAll(to.id, *said);
  }
}

/** Hands an event to whatever decides in a process. */
template <typename Event>
void batch_world::ToAll(const std::string& id, const Event& event) {
  if (machine* vm = FindMachine(id)) return ToAgent(*vm, event);
  entry_process& entry = *FindEntry(id);
  ToGateway(entry, event);
  ToPlanner(entry, event);
}

void batch_world::ToGateway(entry_process& entry, gateway_event event) {
  std::vector<gateway_event> events;
  events.push_back(std::move(event));
  std::vector<gateway_action> actions;
  entry.gateway->Decide(events, now(), actions);
  CarryOut(entry, actions);
}

void batch_world::ToPlanner(entry_process& entry, planner_event event) {
  std::vector<planner_event> events;
  events.push_back(std::move(event));
  std::vector<planner_action> actions;
  entry.planner->Decide(events, now(), millis(kWallOrigin + now().count()), actions);
  CarryOut(entry, actions);
}

void batch_world::ToAgent(machine& vm, agent_event event) {
  std::vector<agent_event> events;
  events.push_back(std::move(event));
  std::vector<agent_action> actions;
  vm.agent->Decide(events, now(), actions);
  CarryOut(vm, actions);
}

void batch_world::ToAgentWhenItRuns(machine& vm, agent_event event) {
  if (now() >= vm.frozen_until) return ToAgent(vm, std::move(event));
  events_.At(vm.frozen_until, [this, &vm, life = vm.life, event = std::move(event)]() mutable {
    if (vm.alive && vm.life == life) ToAgentWhenItRuns(vm, std::move(event));
  });
}

void batch_world::CarryOut(entry_process& entry, std::vector<gateway_action>& actions) {
  const int64_t life = entry.life;
  for (auto& action : actions) {
    if (const auto* reply = std::get_if<caller_reply>(&action)) {
      events_.After(kNetwork, [this, answer = *reply] { callers_.OnReply(answer); });
    } else if (const auto* request = std::get_if<store_request>(&action)) {
      store_.Call({entry.id, entry.life, true}, *request);
    } else if (const auto* send = std::get_if<send_to_peer>(&action)) {
      links_.Send(entry.id, *send);
    } else if (const auto* dial = std::get_if<dial_peer>(&action)) {
      links_.Dial(entry, dial->address);
    } else if (const auto* undial = std::get_if<undial_peer>(&action)) {
      links_.Undial(entry, undial->address);
    } else if (auto* tell = std::get_if<own_planner_request>(&action)) {
      events_.After(millis(0), [this, id = entry.id, life, message = tell->message] {
        entry_process* same = FindEntry(id);
        if (same->alive && same->life == life) ToPlanner(*same, local_gateway_message{message});
      });
    } else if (auto* news = std::get_if<operator_update>(&action)) {
      events_.After(millis(0),
                    [this, id = entry.id, life, state = news->state, confirmed = news->confirmed] {
                      entry_process* same = FindEntry(id);
                      if (same->alive && same->life == life) {
                        ToPlanner(*same, operator_state_update{state, confirmed});
                      }
                    });
    }
  }
}

void batch_world::CarryOut(entry_process& entry, std::vector<planner_action>& actions) {
  const int64_t life = entry.life;
  for (auto& action : actions) {
    if (const auto* request = std::get_if<store_request>(&action)) {
      store_.Call({entry.id, entry.life, false}, *request);
    } else if (const auto* send = std::get_if<send_to_peer>(&action)) {
      links_.Send(entry.id, *send);
    } else if (const auto* tell = std::get_if<send_to_gateway>(&action)) {
      events_.After(millis(0), [this, id = entry.id, life, message = tell->message] {
        entry_process* same = FindEntry(id);
        if (same->alive && same->life == life) ToGateway(*same, own_planner_reply{message});
      });
    } else if (const auto* listing = std::get_if<vm_listing_request>(&action)) {
      ListVms(entry, *listing);
    } else if (const auto* advice = std::get_if<advice_request>(&action)) {
      AskForAdvice(entry, *advice);
    }
  }
}

void batch_world::Advise(std::string_view queue, const advice_policy& times) {
  advice_.SetQueue(queue, times);
  worker_faults_.accepts_ticket = [this](std::string_view worker, const start_call& call) {
    return advice_.Accepts(worker, call);
  };
  Configure([&](batch_config& config) {
    for (auto& other : config.queues) {
      if (other.name == queue) other.advice = times;
    }
  });
}

void batch_world::AskForAdvice(const entry_process& entry, const advice_request& request) {
  advice_.Ask(entry.id, request, [this, id = entry.id, life = entry.life](advice_reply reply) {
    entry_process* same = FindEntry(id);
    if (same->alive && same->life == life) ToPlanner(*same, std::move(reply));
  });
}

/** A VM whose worker has crashed is down until the next one starts there. */
void batch_world::ListVms(const entry_process& entry, const vm_listing_request& request) {
  std::vector<vm_record> vms;
  for (const auto& [index, vm] : machines_) {
    const standin_runner* life = vm->worker->runner();
    vms.push_back({"vm-" + std::to_string(index), life != nullptr ? vm_state::kUp : vm_state::kDown,
                   life != nullptr ? life->self().id : std::string()});
  }
  const vm_listing listing = vm_list_.List(request, links_.ReachesStore(entry), vms);
  const int64_t life = entry.life;
  events_.After(kListTime, [this, id = entry.id, life, listing] {
    entry_process* same = FindEntry(id);
    if (same->alive && same->life == life) ToPlanner(*same, listing);
  });
}

void batch_world::NoteLists(machine& vm, const send_to_peer& sent) {
  const auto* report = std::get_if<worker_report>(&sent.message);
  if (report == nullptr || !report->listed) return;
  if (!(report->worker.self == vm.last_lists.worker.self)) vm.former_lists = vm.last_lists;
  vm.last_lists = *report;
}

void batch_world::LateReport(int index) {
  const machine& vm = *machines_.at(index);
  links_.Send(vm.id, {EntryId(Planner()), vm.former_lists});
}

void batch_world::CarryOut(machine& vm, std::vector<agent_action>& actions) {
  for (auto& action : actions) {
    if (const auto* send = std::get_if<send_to_peer>(&action)) {
      NoteLists(vm, *send);
      links_.Send(vm.id, *send);
    } else if (const auto* dial = std::get_if<dial_peer>(&action)) {
      links_.Dial(vm, dial->address);
    } else if (const auto* undial = std::get_if<undial_peer>(&action)) {
      links_.Undial(vm, undial->address);
    } else if (const auto* hold = std::get_if<hold_call>(&action)) {
      vm.worker->Call(*hold);
    } else if (const auto* start = std::get_if<start_call>(&action)) {
      vm.worker->Call(*start);
    } else if (const auto* stop = std::get_if<stop_call>(&action)) {
      vm.worker->Call(*stop);
    } else if (const auto* request = std::get_if<store_request>(&action)) {
      store_.Call({vm.id, vm.life, false}, *request);
    } else if (std::holds_alternative<reload_seeds>(action)) {
      ReadSeeds(vm);
    }
  }
}

void batch_world::ReadSeeds(machine& vm) {
  if (!settings_readable_) return;
  events_.After(kReloadTime, [this, &vm, life = vm.life, seeds = seeds_] {
    if (vm.alive && vm.life == life) ToAgentWhenItRuns(vm, seeds_read{seeds});
  });
}

void batch_world::StopProcess(world_process& stopped) {
  stopped.alive = false;
  stopped.dialled.clear();
  links_.Close(stopped.id);
}

void batch_world::KillEntry(int index, millis down) {
  entry_process& entry = *entries_.at(static_cast<size_t>(index));
  if (!entry.alive) return;
  StopProcess(entry);
  events_.After(down, [this, index] {
    entry_process& same = *entries_.at(static_cast<size_t>(index));
    if (!same.alive && !same.removed) StartEntry(same);
  });
}

int batch_world::ReplaceEntry(int index, millis down) {
  entry_process& removed = *entries_.at(static_cast<size_t>(index));
  removed.removed = true;
  if (removed.alive) StopProcess(removed);
  const int next = entries();
  AddEntry(removed.domain);
  events_.After(down, [this, next] { StartEntry(*entries_.at(static_cast<size_t>(next))); });
  return next;
}

void batch_world::SetSeeds(std::span<const int> entries) {
  seeds_.clear();
  for (const int entry : entries) seeds_.push_back(PeerAddress(EntryId(entry)));
}

void batch_world::FreezeEntry(int index, millis time) {
  entry_process& entry = *entries_.at(static_cast<size_t>(index));
  entry.frozen_until = std::max(entry.frozen_until, now() + time);
  if (time > batch_links::kSilence) links_.FallSilent(entry.id);
}

void batch_world::KillAgent(int worker, millis down) {
  machine& vm = *machines_.at(worker);
  if (!vm.alive) return;
  StopProcess(vm);
  events_.After(down, [this, worker] {
    machine& same = *machines_.at(worker);
    if (!same.alive) StartAgent(same);
  });
}

void batch_world::FreezeAgent(int worker, millis time) {
  machine& vm = *machines_.at(worker);
  vm.frozen_until = std::max(vm.frozen_until, now() + time);
  if (time > batch_links::kSilence) links_.FallSilent(vm.id);
}

void batch_world::MoveWorker(int from, int to) {
  fake_worker& left = WorkerAt(from);
  fake_worker& taken = WorkerAt(to);
  const std::string id = left.runner()->self().id;
  left.runner()->Die(now());
  taken.runner()->Die(now());
  taken.StartAs(id);
  left.Start();
}

void batch_world::PowerOffAll(millis down) {
  for (int i = 0; i < entries(); ++i) KillEntry(i, down);
  for (int i = 0; i < options_.workers; ++i) {
    CrashWorker(i, down);
    KillAgent(i, down);
  }
}

}  // namespace eelgrass
