/** \file
 * A whole deployment for batch jobs on a virtual clock: entries, agents, workers, store and
 * callers.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "kernel/batch/agent_core.h"
#include "kernel/batch/gateway_core.h"
#include "kernel/batch/planner_core.h"
#include "kernel/io/peer_hub.h"
#include "standins/batch_check.h"
#include "tests/world/batch_callers.h"
#include "tests/world/batch_links.h"
#include "tests/world/draws.h"
#include "tests/world/fake_advice.h"
#include "tests/world/fake_operators.h"
#include "tests/world/fake_row_store.h"
#include "tests/world/fake_vm_list.h"
#include "tests/world/fake_worker.h"
#include "tests/world/timeline.h"

namespace eelgrass {

struct batch_world_options {
  int entries = 3;
  int workers = 6;
  std::map<int, double> processor;  // of single entries; 0 at the others
  runner_options worker;
  std::map<int, int> time_percent;  // of work at single workers; 100 at the others
  std::string order = "fair_deadline";
  int first_entries = 1;  // named as seeds in the settings from the start
  /** Entries know only the seeds and the store at their start; otherwise they know all others. */
  bool discover = false;
  uint64_t seed = 1;
  runner_observer watcher;  // is told what the workers do, as the check is; may be empty
};

/**
 * Runs the deciding code of all processes against fakes at its interfaces. Faults are switched on
 * and off by the test; every fault that the platform can have at these interfaces has a switch
 * here.
 */
class batch_world {
 public:
  explicit batch_world(batch_world_options options = {});
  ~batch_world();

  timeline& events() { return events_; }
  millis now() const { return events_.now(); }
  void RunFor(millis time) { events_.RunUntil(events_.now() + time); }
  batch_check& check() { return check_; }

  void Submit(const batch_job& job) {
    if (advice_.Covers(job.queue)) advice_.AddJob(job.id);
    callers_.Submit(job);
  }
  void Cancel(std::string_view job) { callers_.Cancel(job); }
  void Watch(std::string_view job) { callers_.Watch(job); }

  void Configure(const std::function<void(batch_config&)>& edit) { operators_.Configure(edit); }
  /** The policy of a queue demands advice from now on. */
  void Advise(std::string_view queue, const advice_policy& times);
  fake_advice& advice() { return advice_; }

  void Evacuate(std::string_view domain, bool out) { operators_.Evacuate(domain, out); }

  void KillEntry(int entry, millis down);

  /**
   * An entry is removed for good. After `down` another one starts at another address, in the same
   * domain. Returns its index.
   */
  int ReplaceEntry(int entry, millis down);

  /** The settings name these entries as seeds from now on. */
  void SetSeeds(std::span<const int> entries);

  /** Whether two entries are connected. */
  bool Linked(int a, int b) const { return links_.Linked(EntryId(a), EntryId(b)); }

  /** The settings can be read, or not. They can from the start. */
  void SetSettingsReadable(bool readable) { settings_readable_ = readable; }

  agent_statistics AgentStats(int worker) const {
    return machines_.at(worker)->agent->stats(now());
  }
  void FreezeEntry(int entry, millis time);
  void CutEntry(int entry, bool cut, cut_kind kind = cut_kind::kSilent) {
    links_.SetCut(EntryId(entry), cut, kind);
  }
  void KillAgent(int worker, millis down);
  void FreezeAgent(int worker, millis time);
  void CutAgent(int worker, bool cut, cut_kind kind = cut_kind::kSilent) {
    links_.SetCut(AgentId(worker), cut, kind);
  }

  /** Cuts a failure domain (0 to 2) off from the others and the store; inside, all is reachable. */
  void CutDomain(int domain, bool cut, cut_kind kind = cut_kind::kSilent) {
    links_.CutDomain(domain, cut, kind);
  }
  /** Each connection between processes goes silent for good with this probability; new ones work.
   */
  void SeverLinks(double share) { links_.Sever(share, random_); }

  /** What happens at single workers: see fake_worker. */
  void CrashWorker(int index, millis down) { WorkerAt(index).Crash(down); }
  void DrainWorker(int index) { WorkerAt(index).Drain(); }

  /**
   * A worker starts again under its id on another VM, whose worker is gone. A new worker starts on
   * the VM that it leaves.
   */
  void MoveWorker(int from, int to);

  void RestartWorker(int index, millis down, millis clock_step) {
    WorkerAt(index).Restart(down, clock_step);
  }
  /** The clock of a worker's VM is stepped; a life that begins later is born by it. */
  void StepClock(int index, millis step) { WorkerAt(index).StepClock(step); }
  void LateBeat(int index) { WorkerAt(index).LateBeat(); }
  /** The last lists of a worker's former life come to the planner now. */
  void LateReport(int index);
  void LateLeave(int index, bool dated = false) { WorkerAt(index).LateLeave(dated); }
  void Leave(int index, millis away) { WorkerAt(index).Leave(away); }
  void LeaveUnheard(int index, millis linger, millis away) {
    WorkerAt(index).LeaveUnheard(linger, away);
  }
  void TakeAway(int index, millis notice, millis away) { WorkerAt(index).TakeAway(notice, away); }
  void SetMute(int index, bool mute) { WorkerAt(index).SetMute(mute); }
  void SetRefusing(int index, bool refusing) { WorkerAt(index).SetRefusing(refusing); }
  void SetSick(int index, bool sick) { WorkerAt(index).runner()->SetSick(sick); }
  void SetTimePercent(int index, int percent) { WorkerAt(index).SetTimePercent(percent); }
  void PowerOffAll(millis down);

  void SetStore(store_fault fault) { store_.SetFault(fault); }
  void SetStoreFor(int entry, store_fault fault) { store_.SetFaultFor(EntryId(entry), fault); }
  void SetStoreForAgents(store_fault fault) {
    for (int i = 0; i < workers(); ++i) store_.SetFaultFor(AgentId(i), fault);
  }
  void ForgetHistory() { store_.rows().ForgetHistory(); }

  /** Changes reach whoever follows them this much later. */
  void SetFeedDelay(millis delay) { store_.SetFeedDelay(delay); }

  /** The platform's list of VMs answers, or does not. It answers from the start. */
  void SetVmList(bool answers) { vm_list_.SetAnswers(answers); }
  int vm_lists() const { return vm_list_.lists(); }

  /** The next so many lists do not hold a worker's VM: it changes its place between two pages. */
  void HideVm(int worker, int lists) { vm_list_.Hide(worker, lists); }

  /** Workers say on which VM they live, or do not. They do from the start. */
  void SetVmNamed(bool named) { worker_faults_.vm_named = named; }

  /** The entries of VMs that are left out can be seen, but not read. */
  void SetUnreadable(bool unreadable) { vm_list_.SetUnreadable(unreadable); }

  /** Orders to workers get no answer and are carried out seconds later, with this probability. */
  void SetLateOrders(double share) { worker_faults_.late_orders = share; }

  /** The same for holds. */
  void SetLateHolds(double share) { worker_faults_.late_holds = share; }

  /** A worker's first heartbeat comes up to this long after its start. */
  void SetLongestAnnouncement(millis time) { worker_faults_.longest_announcement = time; }

  /** The entry that plans; -1: nobody does. */
  int Planner() const;

  planner_statistics PlannerStats(int entry) const {
    return entries_.at(static_cast<size_t>(entry))->planner->stats(now());
  }

  /** Whether an entry plans, or believes so. */
  bool Plans(int entry) const;

  /** The entry that took the term last, by the store. */
  int Holder() const;
  bool Ready(int entry) const { return entries_.at(static_cast<size_t>(entry))->gateway->ready(); }
  const standin_rows& rows() const { return store_.rows(); }
  standin_rows& rows() { return store_.rows(); }
  int store_calls() const { return store_.calls(); }
  const standin_runner& worker(int index) const { return *machines_.at(index)->worker->runner(); }
  int entries() const { return static_cast<int>(entries_.size()); }
  int workers() const { return options_.workers; }

 private:
  class store_doors;
  class agent_door;
  struct entry_process : world_process {
    bool removed = false;  // for good
    std::unique_ptr<gateway_core> gateway;
    std::unique_ptr<planner_core> planner;
  };
  struct machine : world_process {
    std::unique_ptr<agent_core> agent;
    std::unique_ptr<agent_door> door;
    std::unique_ptr<fake_worker> worker;
    worker_report last_lists;    // of the present life
    worker_report former_lists;  // of the life that listed before
  };
  fake_worker& WorkerAt(int index) { return *machines_.at(index)->worker; }
  worker_site SiteOf(int index) const;
  std::string EntryId(int index) const { return "entry-" + std::to_string(index); }
  std::string AgentId(int index) const { return "agent-" + std::to_string(index); }
  world_process* FindProcess(std::string_view id);
  entry_process* FindEntry(std::string_view id);
  machine* FindMachine(std::string_view id);

  void HandIn(uint64_t turn, const caller_call& call);
  void AddEntry(int domain);
  void StartEntry(entry_process& entry);
  void StartAgent(machine& vm);
  void StopProcess(world_process& stopped);
  void Tick(const std::string& id, int64_t life);
  void Take(const world_process& to, link_event& event);
  template <typename Event>
  void ToAll(const std::string& id, const Event& event);
  void ToGateway(entry_process& entry, gateway_event event);
  void ToPlanner(entry_process& entry, planner_event event);
  void ToAgent(machine& vm, agent_event event);
  void ToAgentWhenItRuns(machine& vm, agent_event event);
  void CarryOut(entry_process& entry, std::vector<gateway_action>& actions);
  void CarryOut(entry_process& entry, std::vector<planner_action>& actions);
  void NoteLists(machine& vm, const send_to_peer& sent);
  void CarryOut(machine& vm, std::vector<agent_action>& actions);
  void ReadSeeds(machine& vm);
  void AskForAdvice(const entry_process& entry, const advice_request& request);
  void ListVms(const entry_process& entry, const vm_listing_request& request);

  const batch_world_options options_;
  timeline events_;
  draws random_;
  batch_links links_;
  std::unique_ptr<store_doors> doors_;
  fake_row_store store_;
  fake_operators operators_;
  standin_gangs gangs_;
  worker_faults worker_faults_;
  batch_check check_;
  batch_callers callers_;
  fake_advice advice_;
  std::unique_ptr<batch_record_codec> codec_;
  std::unique_ptr<unit_order> order_;
  std::vector<std::unique_ptr<entry_process>> entries_;
  std::map<int, std::unique_ptr<machine>> machines_;
  fake_vm_list vm_list_;
  std::vector<std::string> seeds_;  // peer addresses that the settings name
  bool settings_readable_ = true;
  int64_t last_life_ = 0;
};

/** A job of one step, for stories. */
batch_job MakeBatchJob(std::string_view id, std::string_view queue, int tasks, millis work,
                       int64_t accelerators, bool gang = false);

}  // namespace eelgrass
