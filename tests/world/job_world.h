/** \file
 * A whole deployment's job side on a virtual clock.
 */
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "kernel/config/agent_config.h"
#include "kernel/control/control_core.h"
#include "kernel/jobs/worker_core.h"
#include "standins/outcome_check.h"
#include "standins/task_log.h"
#include "tests/world/fake_network.h"
#include "tests/world/fake_runtime.h"
#include "tests/world/fake_store.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** Policies and seed of a world. */
struct world_options {
  uint64_t seed = 1;
  std::string ordering = "fair_share";
  std::string placement = "best_fit";
};

/** An answer to an operator's or owner's command. */
struct world_answer {
  bool answered = false;
  operator_reply view;
};

/**
 * Entries, workers' agents, workers and the table service, joined by fakes. Notes every violation
 * of what must always hold as it goes.
 */
class job_world {
 public:
  explicit job_world(world_options options);
  ~job_world();

  // Building.
  void StartEntry(const std::string& id);
  void StartWorker(const std::string& id, const std::string& domain, const std::string& rack,
                   const std::string& region, const resources& capacity);
  /** Starts the workers that a document's racks declare, named DOMAIN-RACK-NUMBER. */
  void StartDeclaredWorkers(const document& doc);
  bool ApplyDocument(const std::string& text);

  void Run(millis time);
  /** Hands a command to an entry; the answer appears under the ticket. */
  uint64_t Order(const std::string& entry, std::unique_ptr<operator_command> command);
  const world_answer& Answer(uint64_t ticket) const { return answers_.at(ticket); }
  /** Submits at an entry and returns the ticket. */
  uint64_t Submit(const std::string& entry, const job_spec& spec, const std::string& key);
  void SetDomain(const std::string& entry, const std::string& domain, bool out,
                 window_mode mode = window_mode::kMove);

  void KillEntry(const std::string& id);
  void KillAgent(const std::string& id, bool silently);
  void RestartAgent(const std::string& id);
  void KillMachine(const std::string& id);
  void Pause(const std::string& id);
  void Resume(const std::string& id);

  fake_network& network() { return network_; }
  fake_store& store() { return store_; }
  timeline& events() { return events_; }
  task_log& tasks() { return tasks_; }
  fake_runtime& runtime(const std::string& worker) { return *machines_.at(worker)->runtime; }
  control_core* entry(const std::string& id);
  std::string leader() const;

  std::vector<job_row> Rows() const;
  const job_row* Row(const std::string& id) const;
  int CountState(job_state state) const;
  bool AllEnded() const;
  /** Time from submission to the opening of the first gate, or -1. */
  int64_t StartDelay(const std::string& job) const;

  /** Checks everything that must hold, and returns all violations so far. */
  const std::vector<std::string>& Check();

 private:
  struct entry_state {
    std::unique_ptr<control_core> core;
    std::vector<control_event> inbox;
    uint64_t generation = 0;
    int64_t highest_version = 0;
  };

  struct machine {
    worker_options options;
    std::unique_ptr<fake_runtime> runtime;
    std::unique_ptr<worker_core> core;
    std::unique_ptr<agent_config> config;
    std::vector<worker_event> inbox;
    uint64_t generation = 0;
    int64_t highest_version = 0;
  };

  millis WallNow() const { return events_.time().WallNow(); }
  void TickEntry(const std::string& id, uint64_t generation);
  void RunEntry(const std::string& id);
  void Wake(const std::string& id);
  void TickMachine(const std::string& id, uint64_t generation);
  void RunMachine(const std::string& id);
  void StartAgent(const std::string& id);
  void CheckGangsNow();
  void CheckCapacity();
  void CheckGuarantees();
  void CheckAccepted();
  void CheckDomains();
  void Violation(const std::string& what);

  const world_options options_;
  timeline events_;
  std::mt19937_64 random_;
  fake_network network_;
  fake_store store_;
  task_log tasks_;
  std::map<std::string, entry_state> entries_;
  std::map<std::string, std::unique_ptr<machine>> machines_;
  std::map<uint64_t, world_answer> answers_;
  std::map<std::string, expected_job> accepted_;
  std::map<std::string, millis> domain_out_since_;
  std::vector<std::string> violations_;
  std::set<std::string> known_violations_;
  std::set<std::string> noted_gangs_;
  uint64_t last_ticket_ = 0;
  int64_t last_incarnation_ = 0;
  size_t checked_runs_ = 0;
  document document_;
  int64_t document_revision_ = 0;
};

}  // namespace eelgrass
