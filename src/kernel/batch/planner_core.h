/** \file
 * What an entry decides as the planner of batch jobs, or while another entry plans.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "kernel/batch/advice_desk.h"
#include "kernel/batch/lost_worker_detector.h"
#include "kernel/batch/order_writer.h"
#include "kernel/batch/planner_journal.h"
#include "kernel/batch/run_tracker.h"
#include "kernel/batch/start_planner.h"
#include "kernel/batch/term_election.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/** This entry's own gateway asks for a caller, or has accepted a job. */
struct own_said {
  std::variant<job_inquiry, job_accepted> message;
};

/** What operators want, as this entry has read it. */
struct operators_say {
  operator_state state;
  millis confirmed{0};
};

/** The process is to end: hand the term over. */
struct planner_drain {};

using planner_event =
    std::variant<store_reply, peer_up, peer_down, peer_refused, peer_said, own_said, operators_say,
                 planner_drain, advice_reply, vm_listing>;

/** To this entry's own gateway. */
struct tell_gateway {
  std::variant<job_reply, planner_notice> message;
};

using planner_action =
    std::variant<store_request, send_to_peer, tell_gateway, advice_request, vm_listing_request>;

struct planner_options {
  std::string node;          // id of this entry
  std::string nonce;         // differs at each start of the process
  std::string peer_address;  // of this entry, for agents
  tracker_options tracking;
  millis early{250};  // an occurrence may start this much before its time
};

/** The planner's load, for metrics. Gauges are zero while another entry plans. */
struct planner_load {
  bool planning = false;
  int64_t term = 0;
  int64_t open_jobs = 0;
  int64_t waiting_jobs = 0;  // open, and nothing of them has begun
  int64_t workers = 0;
  int64_t runs = 0;           // placed, begun or stopping
  int64_t runs_given_up = 0;  // by this process: taken for over without having heard their end
};

/**
 * Joins the planner's parts. While another entry plans it only watches the term. After a takeover
 * it reads what is stored, raises the fence at every agent, and starts nothing until each worker on
 * which runs may be has reported under the new fence or its lease has surely lapsed.
 */
class planner_core {
 public:
  planner_core(planner_options options, const batch_record_codec& codec, const unit_order& order);

  void Decide(std::span<planner_event> events, millis now, millis wall_now,
              std::vector<planner_action>& actions);

  /** Whether nothing keeps the process from ending. */
  bool handed_over() const { return !term_.holding() || journal_.handed_over(); }

  bool planning() const { return planning_; }
  planner_load stats() const;
  const job_book& book() const { return *book_; }
  const worker_pool& pool() const { return pool_; }

 private:
  void On(store_reply& event, millis now);
  void On(peer_up& event, millis now);
  void On(peer_down& event, millis now);
  void On(peer_refused& event, millis now);
  void On(peer_said& event, millis now);
  void On(advice_reply& event, millis now);
  void On(vm_listing& event, millis now);
  void On(own_said& event, millis now);
  void On(operators_say& event, millis now);
  void On(planner_drain& event, millis now);

  void StartOver();
  void BeginTerm(millis now);
  void EndTerm();
  void TakeReport(const std::string& agent, worker_report& report, millis now);
  void Answer(const std::string& asker, const job_inquiry& inquiry, millis now);
  void Forget(std::span<const std::string> workers, std::string_view reason, millis now);
  void Reply(const std::string& asker, const job_reply& reply);
  void TakeWritten();
  void OnAccepted(const job_accepted& news, millis now);
  bool HeldAfter(millis past);
  bool EarlierLeasesOver(millis now);
  bool Recovered(millis now);
  void Plan(millis now, millis wall_now);
  void Notify(millis now);
  void RepeatNotice(const planner_notice& notice, millis now);
  void PassOn(const planner_notice& notice);
  planner_notice Notice(millis now) const;
  int64_t CountWaiting(std::string_view queue) const;

  const planner_options options_;
  term_election term_;
  std::unique_ptr<job_book> book_;
  worker_pool pool_;
  worker_speeds speeds_;  // kept over terms: workers do not change with the planner
  planner_journal journal_;
  lost_worker_detector lost_;
  std::unique_ptr<run_tracker> tracker_;
  std::unique_ptr<order_writer> orders_;
  start_planner starts_;
  operator_state operators_;
  millis operators_confirmed_{INT64_MIN / 4};
  std::vector<planner_action>* out_ = nullptr;
  bool was_holding_ = false;
  bool planning_ = false;  // recovered: starts may be made
  millis term_began_{0};
  millis forgotten_{INT64_MIN / 4};  // the last stored worker that was not heard in this term
  int64_t given_up_before_ = 0;      // runs, in earlier terms of this process
  std::map<std::string, std::string> entries_;       // linked entries: address by id
  std::map<std::string, std::string> lost_entries_;  // address by id
  advice_desk advice_;
  std::set<std::string> agents_;  // linked agents
  std::map<std::pair<std::string, std::string>, worker_report> early_reports_;
  std::map<std::string, std::vector<std::pair<std::string, int64_t>>> cancels_;  // by job
  planner_notice told_;
  millis next_repeat_{0};
  std::map<std::string, millis, std::less<>> reported_;  // when each agent last did, in this term
  planner_notice heard_;                                 // latest of another planner
  int64_t planned_changes_ = -1;
  millis next_plan_{0};
};

}  // namespace eelgrass
