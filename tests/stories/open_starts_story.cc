#include <doctest/doctest.h>

#include <algorithm>

#include "kernel/batch/planner_core.h"
#include "kernel/batch/run_tracker.h"
#include "kernel/placement/start_planner.h"
#include "tests/world/batch_world.h"

namespace eelgrass {
namespace {

constexpr int64_t kTerm = 7;

/** A planner's tracker with two workers, each beside an agent. */
struct tracked_workers {
  job_table jobs{millis(250)};
  worker_pool pool;
  worker_speeds speeds;
  run_tracker tracker{{}, jobs, pool, speeds};
  batch_config config;
  std::map<std::string, worker_report> reports;

  tracked_workers() {
    batch_queue queue;
    queue.name = "usual";
    queue.service = "drying";
    queue.attempts = 1;
    config.queues.push_back(queue);
    tracker.Begin(kTerm);
    for (const std::string id : {"w1", "w2"}) {
      worker_report& report = reports[id];
      report.term = kTerm;
      report.present = report.listed = true;
      report.worker.self = {id, 100};
      report.worker.service = "drying";
      report.worker.address = id + ":80";
      report.worker.capacity = {32000, 131072, 8};
    }
  }

  void Add(const batch_job& job) {
    jobs.Add(job, millis(0));
    jobs.Release(millis(0), millis(0));
  }
  void Report(const std::string& id, millis now) {
    worker_report& report = reports.at(id);
    ++report.sequence;
    tracker.On("agent-" + id, report, config, now);
    pool_worker& worker = *pool.Find(id);
    worker.recorded = true;
    worker.lease_end = now + millis(4000);
    worker.ends_stored = worker.ends_applied;
  }
  int64_t SeenUpto(const std::string& id, millis now, bool recovered = true) {
    tracker.Tick(now, now);
    tracker.ReleaseEnds(recovered, now);
    return pool.Find(id)->ends_released;
  }
};

TEST_CASE("the end of a run is kept by its worker while its unit may start again") {
  tracked_workers workers;
  worker_report& report = workers.reports.at("w1");
  const batch_job job = MakeBatchJob("a1", "usual", 2, millis(1000), 1);
  workers.Add(job);
  const std::string task = job.id + ".0.0.0";
  const std::string other = job.id + ".0.0.1";

  SUBCASE("at once if no other call may still start it") {
    report.ended = {{1, task, 701, run_end::kDone, ""}};
    workers.Report("w1", millis(10));
    CHECK(workers.SeenUpto("w1", millis(10)) == 1);
  }
  SUBCASE("until an unanswered call cannot be carried out any more") {
    report.unanswered = {{task, 701, 9000}};
    SUBCASE("which is at its worker") {
      run_end how = run_end::kDone;
      SUBCASE("when it is done") {}
      SUBCASE("when it has failed for the last time") { how = run_end::kFailed; }
      report.ended = {{1, other, 702, run_end::kDone, ""}, {2, task, 701, how, ""}};
      workers.Report("w1", millis(10));
      CHECK(workers.SeenUpto("w1", millis(10)) == 1);
      CHECK(workers.SeenUpto("w1", millis(9009)) == 1);
      CHECK(workers.SeenUpto("w1", millis(9010)) == 2);
    }
    SUBCASE("which is at another worker that has been given up") {
      workers.Report("w1", millis(10));
      workers.tracker.Drop("w1", "its VM is down", millis(20));
      workers.reports.at("w2").ended = {{1, task, 703, run_end::kDone, ""}};
      workers.Report("w2", millis(30));
      CHECK(workers.SeenUpto("w2", millis(9009)) == 0);
      CHECK(workers.SeenUpto("w2", millis(9010)) == 1);
    }
  }
  SUBCASE("for good if another run was seen after it") {
    report.ended = {{1, task, 701, run_end::kDone, ""}};
    report.unanswered = {{task, 699, 9000}};
    SUBCASE("which runs") {
      workers.Report("w1", millis(10));
      workers.reports.at("w2").running = {{task, 699, "", 100, 0}};
    }
    SUBCASE("which has ended before it was seen") {
      report.unanswered.clear();
      workers.reports.at("w2").unanswered = {{task, 699, 9000}};
      workers.Report("w2", millis(5));
      workers.Report("w1", millis(10));
      workers.reports.at("w2").unanswered.clear();
      workers.reports.at("w2").ended = {{1, task, 699, run_end::kFailed, ""}};
    }
    workers.Report("w2", millis(20));
    CHECK(workers.SeenUpto("w1", millis(20000)) == 0);
  }
  SUBCASE("not because a worker still lists its member of the gang run that is done") {
    const batch_job gang = MakeBatchJob("a2", "usual", 2, millis(1000), 1, true);
    workers.Add(gang);
    report.ended = {{1, gang.id + ".0.0.0", 701, run_end::kDone, ""}};
    workers.Report("w1", millis(10));
    workers.reports.at("w2").running = {{gang.id + ".0.0.1", 701, "", 100, 0}};
    workers.Report("w2", millis(20));
    CHECK(workers.SeenUpto("w1", millis(20)) == 1);
  }
  SUBCASE("also when the unanswered call is reported after the end") {
    report.ended = {{1, task, 701, run_end::kDone, ""}};
    workers.Report("w1", millis(10));
    CHECK(workers.SeenUpto("w1", millis(10), false) == 0);
    workers.reports.at("w2").unanswered = {{task, 701, 9000}};
    workers.Report("w2", millis(20));
    CHECK(workers.SeenUpto("w1", millis(20)) == 0);
    CHECK(workers.SeenUpto("w1", millis(9020)) == 1);
  }
  SUBCASE("until a new planner has recovered, if the lease had lapsed before it was reported") {
    report.ended = {{1, task, 601, run_end::kDone, ""}, {2, other, 602, run_end::kDone, ""}};
    SUBCASE("for one of them") { report.lapsed_upto = 1; }
    SUBCASE("for both") { report.lapsed_upto = 2; }
    workers.Report("w1", millis(10));
    workers.tracker.CompleteJobs(false);
    CHECK_FALSE(IsFinal(workers.jobs.Find(job.id)->state));
    CHECK(workers.SeenUpto("w1", millis(20), false) == 0);
    workers.tracker.CompleteJobs(true);
    CHECK(workers.jobs.Find(job.id)->state == batch_state::kCompleted);
    CHECK(workers.SeenUpto("w1", millis(30), true) == 2);
  }
  SUBCASE("but not for a lapse before this planner started the run") {
    workers.Report("w1", millis(10));
    start_plan plan;
    plan.starts.push_back({{job.id, 0, 0, 0}, {"w1"}, {}});
    workers.tracker.Apply(plan, millis(20));
    const int64_t run = workers.jobs.Find(unit_ref{job.id, 0, 0, 0})->run;
    report.ended = {{1, task, run, run_end::kDone, ""}};
    report.lapsed_upto = 1;
    workers.Report("w1", millis(30));
    CHECK(workers.SeenUpto("w1", millis(40), false) == 1);
  }
}

TEST_CASE("an entry that knows of unanswered starts tells the entries that connect") {
  const batch_job job = MakeBatchJob("a1", "usual", 2, millis(1000), 1);
  const batch_step& step = job.steps[0];
  const unit_ref unit{job.id, 0, 0, 0};
  const std::string task = job.id + ".0.0.0";
  worker_profile worker;
  worker.self = {"w1", 100};
  worker.address = "w1:80";
  worker.vm = "vm-1";
  open_starts known;
  open_starts told;
  CHECK(known.Notice(millis(10)).workers.empty());
  known.Report("agent-w1", worker, std::vector<unanswered_start>{{task, 701, 9000}}, millis(10));
  const open_starts_notice notice = known.Notice(millis(1010));
  REQUIRE(notice.workers.size() == 1);
  told.Learn(notice, millis(1010));

  SUBCASE("which hold the task until the call cannot be carried out any more") {
    CHECK(told.Of(unit, step, millis(9009)).size() == 1);
    CHECK(told.Of(unit, step, millis(9010)).empty());
  }
  SUBCASE("which keep it though the agent's next process does not know the call") {
    told.Report("agent-w1", worker, {}, millis(1020));
    CHECK(told.Of(unit, step, millis(1030)).size() == 1);
  }
  SUBCASE("which drop it when another worker lists at that address") {
    worker_profile other = worker;
    other.self = {"w2", 200};
    told.OnListed(other);
    CHECK(told.Of(unit, step, millis(1030)).empty());
  }
  SUBCASE("once, however often they connect") {
    told.Learn(known.Notice(millis(2010)), millis(2010));
    CHECK(told.Of(unit, step, millis(2020)).size() == 1);
    CHECK(told.Of(unit, step, millis(9010)).empty());
  }
  SUBCASE("not of what cannot be carried out any more") {
    CHECK(known.Notice(millis(9010)).workers.empty());
  }
  SUBCASE("who take no statement that cannot be read or has no bound") {
    open_starts odd;
    odd.Learn({{{"w1", "", "", {{"not a task", 1, 9000}, {task, 701, INT64_MAX}}}}}, millis(10));
    CHECK(odd.Of(unit, step, millis(20)).size() == 1);
    CHECK(odd.Of(unit, step, kLatestExecution * 2 + millis(10)).empty());
  }
}

TEST_CASE("an entry keeps what an agent has stated though its next process knows nothing of it") {
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  const auto order = std::move(unit_order_registry::Instance().Create("arrival").value());
  planner_options options;
  options.node = "entry-1";
  planner_core entry(options, *codec, *order);
  std::vector<planner_action> actions;
  const auto decide = [&](planner_event event, millis now) {
    actions.clear();
    entry.Decide(std::span(&event, 1), now, now, actions);
  };
  const auto connect = [&](std::string_view id, peer_role role, millis now) {
    hello greeting;
    greeting.id = id;
    greeting.role = role;
    greeting.incarnation = now.count();
    decide(peer_up{greeting}, now);
  };
  worker_report report;
  report.worker.self = {"w1", 100};
  report.worker.address = "w1:80";
  report.unanswered = {{MakeBatchJob("a1", "usual", 1, millis(1000), 1).id + ".0.0.0", 701, 9000}};
  connect("agent-1", peer_role::kWorkerAgent, millis(10));
  decide(peer_said{"agent-1", report}, millis(20));

  SUBCASE("which connects after the former one was missed") {
    decide(peer_down{"agent-1", 10}, millis(500));
  }
  SUBCASE("which connects before that") {}
  connect("agent-1", peer_role::kWorkerAgent, millis(1000));
  report.unanswered.clear();
  decide(peer_said{"agent-1", report}, millis(1010));
  connect("entry-2", peer_role::kEntry, millis(1020));
  const auto told = std::find_if(actions.begin(), actions.end(), [](const planner_action& action) {
    const auto* send = std::get_if<send_to_peer>(&action);
    return send != nullptr && std::holds_alternative<open_starts_notice>(send->message);
  });
  CHECK(told != actions.end());
}

TEST_CASE("a task that a worker may still start is started there and nowhere else") {
  tracked_workers workers;
  worker_report& report = workers.reports.at("w2");
  const std::set<std::string> evacuated;
  const auto order = std::move(unit_order_registry::Instance().Create("arrival").value());
  start_planner planner(*order);
  const auto plan = [&](millis now) {
    workers.Report("w1", now);
    workers.Report("w2", now);
    workers.tracker.Tick(now, now);
    const planning_view view{
        workers.jobs,   workers.pool, workers.config, evacuated, workers.speeds, nullptr, now, 0,
        now + millis(1)};
    return planner.Plan(view);
  };
  const auto places = [](const start_plan& made) {
    std::vector<std::vector<std::string>> all;
    for (const auto& start : made.starts) all.push_back(start.workers);
    return all;
  };
  using placed = std::vector<std::vector<std::string>>;
  SUBCASE("a single task") {
    const batch_job job = MakeBatchJob("a1", "usual", 2, millis(1000), 1);
    workers.Add(job);
    report.unanswered = {{job.id + ".0.0.0", 601, 9000}};
    CHECK(places(plan(millis(10)))[0] == std::vector<std::string>{"w2"});
    SUBCASE("also when there is no room, which keeps no other task waiting") {
      report.worker.capacity = {1000, 1000, 1};
      report.running = {{"b.0.0.0", 602, "", 100, 0}};
      const batch_job running = MakeBatchJob("b", "usual", 1, millis(1000), 1);
      workers.Add(running);
      report.running[0].task = running.id + ".0.0.0";
      CHECK(places(plan(millis(20))) == placed{{"w1"}});
    }
    SUBCASE("until the call cannot be carried out any more") {
      report.unanswered.clear();
      CHECK(places(plan(millis(20))) == placed{{"w1"}, {"w1"}});
    }
    SUBCASE("for a bounded time if starts there remain unanswered, after which it waits") {
      plan(millis(6000));
      CHECK(places(plan(kLatestExecution + millis(20))) == placed{{"w1"}});
      report.unanswered.clear();
      CHECK(places(plan(kLatestExecution + millis(30))) == placed{{"w1"}, {"w1"}});
    }
    SUBCASE("and waits if that worker cannot take it") {
      SUBCASE("as it is of another kind now") { report.worker.service = "smoking"; }
      SUBCASE("as it leaves") { report.worker.draining = true; }
      CHECK(places(plan(millis(20))) == placed{{"w1"}});
      report.unanswered.clear();
      CHECK(places(plan(millis(30))) == placed{{"w1"}, {"w1"}});
    }
  }
  SUBCASE("a gang's member") {
    const batch_job gang = MakeBatchJob("a2", "usual", 3, millis(1000), 4, true);
    workers.Add(gang);
    report.unanswered = {{gang.id + ".0.0.1", 601, 9000}};
    const auto made = places(plan(millis(10)));
    REQUIRE(made.size() == 1);
    CHECK(made[0][1] == "w2");
    SUBCASE("together with another one at another worker") {
      workers.reports.at("w1").unanswered = {{gang.id + ".0.0.2", 601, 9000}};
      const auto both = places(plan(millis(20)));
      REQUIRE(both.size() == 1);
      CHECK(both[0][1] == "w2");
      CHECK(both[0][2] == "w1");
    }
    SUBCASE("which waits while its worker has no room") {
      report.worker.capacity = {1000, 1000, 1};
      CHECK(places(plan(millis(20))).empty());
    }
  }
}

}  // namespace
}  // namespace eelgrass
