#include <doctest/doctest.h>

#include "kernel/jobs/failure_tracker.h"
#include "kernel/jobs/job_planner.h"
#include "kernel/jobs/runtime_estimator.h"

namespace eelgrass {
namespace {

/** A planner with one rack of two workers, driven by hand. */
class planner_rig {
 public:
  planner_rig()
      : table(1000, millis(500)),
        planner(queue_registry::Instance().Create("fair_share").value(),
                placement_registry::Instance().Create("best_fit").value(), table) {
    auto doc = std::make_shared<document>();
    doc->version = 1;
    doc->domains.push_back({"d", "z", false, window_mode::kMove, {}});
    for (const char* name : {"owner", "other"}) {
      organisation entry;
      entry.name = name;
      doc->organisations.push_back(entry);
    }
    doc->organisations[0].guarantees.push_back({{8, 0, 0}, adjacency::kWorker, 2});
    for (const auto& [name, checkpoint] : {std::pair("fast", 1000), std::pair("slow", 60000)}) {
      job_class kind;
      kind.name = name;
      kind.checkpoint_ms = millis(checkpoint);
      doc->job_classes.push_back(kind);
    }
    doc->job_classes[0].rank = urgency::kUrgent;
    planner.On(document_changed{doc});
    for (const char* id : {"w1", "w2"}) {
      planner.On(peer_up{{id, 1, peer_role::kWorkerAgent, id, "d", {}, {}}}, now);
      announce offer;
      offer.rack = "r";
      offer.region = "z";
      offer.capacity = {8, 32, 128};
      planner.On(peer_said{id, offer}, now, now);
    }
    std::vector<store_call> calls;
    table.Due(now, calls);
    std::vector<table_event> events;
    table.OnAnswer({calls.at(0).token, store_status::kOk, 0, false, {}}, now, events);
  }

  /** Another entry, or this one, has stored the row. */
  void Store(const job_row& row) {
    planner.On(table_event{table_event::kind::kChanged, "jobs/" + row.id, row, ++revision});
  }

  std::vector<send_to_peer> Tick(millis time = millis(100)) {
    now += time;
    std::vector<send_to_peer> messages;
    planner.Tick({now, now, true, true}, messages);
    return messages;
  }

  job_row Job(const std::string& id, const std::string& owner, const std::string& kind) {
    job_row row;
    row.id = id;
    row.spec.organisation = owner;
    row.spec.job_class = kind;
    row.spec.per_task = {8, 0, 0};
    row.spec.within = adjacency::kWorker;
    row.spec.declared_ms = millis(1000000);
    return row;
  }

  job_row Running(job_row row, const std::string& worker) {
    row.state = job_state::kRunning;
    row.epoch = 1;
    row.borrowing = true;
    row.members = {{worker, worker, 1, {8, 0, 0}}};
    return row;
  }

  millis now{1000};
  int64_t revision = 0;
  record_table table;
  job_planner planner;
};

template <typename Message>
const Message* FindMessage(const std::vector<send_to_peer>& messages) {
  for (const auto& sent : messages) {
    if (const auto* found = std::get_if<Message>(&sent.message)) return found;
  }
  return nullptr;
}

TEST_CASE("an organisation wants its guarantee back from borrowers") {
  planner_rig rig;
  rig.Store(rig.Running(rig.Job("b1", "other", "slow"), "w1"));
  rig.Store(rig.Running(rig.Job("b2", "other", "slow"), "w2"));
  rig.Tick();

  SUBCASE("for urgent work it does not wait for a long checkpoint") {
    rig.Store(rig.Job("u", "owner", "fast"));
    rig.Tick();
    const auto messages = rig.Tick();
    const auto* stop = FindMessage<gang_stop>(messages);
    REQUIRE(stop != nullptr);
    CHECK(stop->checkpoint_ms == 0);
  }
  SUBCASE("for other work the borrower may save itself") {
    rig.Store(rig.Job("n", "owner", "slow"));
    rig.Tick();
    const auto messages = rig.Tick();
    const auto* stop = FindMessage<gang_stop>(messages);
    REQUIRE(stop != nullptr);
    CHECK(stop->checkpoint_ms == 60000);
  }
  SUBCASE("while they leave, another planner starts the job") {
    rig.Store(rig.Job("u", "owner", "fast"));
    rig.Tick();
    job_row started = rig.Running(rig.Job("u", "owner", "fast"), "w1");
    started.borrowing = false;
    rig.Store(started);
    job_row left = rig.Job("b1", "other", "slow");
    rig.Store(left);
    rig.Tick();
    rig.Tick();
    // Found by pairs seed 1953: the start that was waiting went on and claimed the job again.
    CHECK(!rig.table.Busy("jobs/u"));
    CHECK(rig.planner.live_rows().at("u").epoch == 1);
  }
}

TEST_CASE("a borrower that has left and runs elsewhere is not stopped again") {
  planner_rig rig;
  rig.Store(rig.Running(rig.Job("b1", "other", "slow"), "w1"));
  rig.Store(rig.Running(rig.Job("b2", "other", "slow"), "w2"));
  rig.Tick();
  rig.Store(rig.Job("n", "owner", "slow"));
  rig.Tick();
  const auto first = rig.Tick();
  const auto* stop = FindMessage<gang_stop>(first);
  REQUIRE(stop != nullptr);
  const std::string victim = stop->gang.job;
  job_row again = rig.Running(rig.Job(victim, "other", "slow"), "w9");
  again.epoch = 2;
  rig.Store(again);
  for (int i = 0; i < 30; ++i) {
    const auto messages = rig.Tick();
    const auto* second = FindMessage<gang_stop>(messages);
    CHECK((second == nullptr || second->gang.job != victim));
  }
  CHECK(rig.planner.live_rows().at("n").state == job_state::kStarting);
}

TEST_CASE("a job that is cancelled while borrowers leave for it frees its place") {
  planner_rig rig;
  rig.Store(rig.Running(rig.Job("b1", "other", "slow"), "w1"));
  rig.Store(rig.Running(rig.Job("b2", "other", "slow"), "w2"));
  rig.Store(rig.Job("u", "owner", "fast"));
  rig.Tick();
  job_row cancelled = rig.Job("u", "owner", "fast");
  cancelled.cancel_wanted = true;
  rig.Store(cancelled);
  rig.Tick();
  CHECK(rig.planner.machines().FindAllocation("u") == nullptr);
}

TEST_CASE("failures are told apart") {
  failure_tracker tracker;
  const millis now(1000);

  SUBCASE("three jobs fail on one worker: the worker is quarantined, the jobs are not blamed") {
    for (const char* job : {"a", "b", "c"}) tracker.RecordFailure(job, "bad", now);
    CHECK(tracker.Quarantined("bad", now));
    CHECK(tracker.CountedFailures("a") == 0);
    SUBCASE("it comes back on probation, and one more failure sends it off for longer") {
      const millis back = tracker.QuarantinedUntil("bad");
      CHECK(tracker.OnProbation("bad", back));
      tracker.RecordFailure("d", "bad", back);
      CHECK(tracker.QuarantinedUntil("bad") - back > back - now);
    }
    SUBCASE("a success clears it") {
      tracker.RecordSuccess("e", "bad");
      CHECK(!tracker.Quarantined("bad", now));
    }
  }
  SUBCASE("one job fails on many workers: the job is blamed, no worker is") {
    for (const char* worker : {"w1", "w2", "w3"}) tracker.RecordFailure("bad", worker, now);
    CHECK(tracker.CountedFailures("bad") == 3);
    for (const char* worker : {"w1", "w2", "w3"}) CHECK(!tracker.Quarantined(worker, now));
  }
}

TEST_CASE("declared run times are corrected") {
  runtime_estimator estimator;
  job_spec spec;
  spec.job_class = "c";
  spec.organisation = "o";
  spec.declared_ms = millis(1000);
  SUBCASE("towards what jobs of the class and organisation take") {
    for (int i = 0; i < 30; ++i) estimator.Learn(spec, millis(4000));
    CHECK(estimator.Estimate(spec) > millis(3800));
    CHECK(estimator.Estimate(spec) < millis(4200));
  }
  SUBCASE("by a factor of ten at the most") {
    for (int i = 0; i < 100; ++i) estimator.Learn(spec, millis(1000000));
    CHECK(estimator.Estimate(spec) <= millis(10100));
  }
  SUBCASE("for others not at all") {
    estimator.Learn(spec, millis(9000));
    spec.organisation = "another";
    CHECK(estimator.Estimate(spec) == millis(1000));
  }
}

}  // namespace
}  // namespace eelgrass
