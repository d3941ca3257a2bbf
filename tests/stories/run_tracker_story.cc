#include <doctest/doctest.h>

#include "kernel/batch/run_tracker.h"
#include "tests/world/batch_world.h"

namespace eelgrass {
namespace {

TEST_CASE("a new planner counts the failures that nobody has stored yet") {
  job_table book(millis(250));
  worker_pool pool;
  worker_speeds speeds;
  run_tracker tracker({}, book, pool, speeds);
  batch_config config;
  batch_queue queue;
  queue.name = "usual";
  queue.attempts = 3;
  config.queues.push_back(queue);
  const batch_job job = MakeBatchJob("a1", "usual", 1, millis(1000), 1);
  book.Add(job, millis(0));
  tracker.Begin(7);
  const unit_ref unit{job.id, 0, 0, 0};
  const std::string task = job.id + ".0.0.0";
  const auto report = [&](std::string_view worker, std::vector<listed_run> running,
                          std::vector<listed_end> ended) {
    worker_report said;
    said.term = 7;
    said.sequence = 1;
    said.present = said.listed = true;
    said.worker.self = {std::string(worker), 1};
    said.running = std::move(running);
    said.ended = std::move(ended);
    tracker.On("agent-" + std::string(worker), said, config, millis(10));
  };

  SUBCASE("also when the next run is seen before the failure of the one before") {
    report("w1", {{task, 202, "", 100, 0}}, {});
    report("w2", {}, {{1, task, 201, run_end::kFailed, ""}});
    CHECK(book.Find(unit)->failures() == 1);
  }
  SUBCASE("in whichever order they are seen, and each once") {
    report("w1", {}, {{1, task, 202, run_end::kFailed, ""}});
    report("w2", {}, {{1, task, 201, run_end::kFailed, ""}});
    report("w3", {}, {{1, task, 201, run_end::kFailed, ""}});
    CHECK(book.Find(unit)->failures() == 2);
  }
  SUBCASE("but not one that an earlier planner has stored") {
    book.Restore({job.id, batch_state::kRunning, {{0, 0, 0, false, {201}, ""}}});
    report("w2", {}, {{1, task, 201, run_end::kFailed, ""}});
    CHECK(book.Find(unit)->failures() == 1);
  }
}

TEST_CASE("a planner tells a worker's lives apart by its agent's reports, not by the time of day") {
  constexpr int64_t kTerm = 7;
  job_table book(millis(250));
  worker_pool pool;
  worker_speeds speeds;
  run_tracker tracker({}, book, pool, speeds);
  const batch_config config;
  const batch_job job = MakeBatchJob("a1", "usual", 1, millis(1000), 1);
  book.Add(job, millis(0));
  tracker.Begin(kTerm);
  const unit_ref unit{job.id, 0, 0, 0};
  const std::string task = job.id + ".0.0.0";
  const auto report = [&](int64_t born, int64_t sequence, bool listed,
                          std::vector<listed_run> running, int64_t life = 0) {
    worker_report said;
    said.term = listed ? kTerm : 0;
    said.life = life;
    said.sequence = sequence;
    said.present = true;
    said.listed = listed;
    said.worker.self = {"w1", born};
    said.running = std::move(running);
    tracker.On("agent-1", said, config, millis(10 * sequence));
  };
  const auto born = [&] { return pool.Find("w1")->profile.self.born_ms; };
  report(100, 2, true, {{task, 701, "", 100, 0}});
  REQUIRE(pool.Find("w1")->runs.size() == 1);

  SUBCASE("lists of a life whose clock was stepped back take the place of the former one's") {
    report(50, 3, true, {});
    CHECK(born() == 50);
    CHECK_FALSE(pool.Find("w1")->listing);
    SUBCASE("what ran there is over once the life lists under a fence of its own") {
      CHECK(tracker.given_up() == 0);
      CHECK(book.Find(unit)->open_runs == 1);
      report(50, 4, true, {}, 1);
      CHECK(pool.Find("w1")->listing);
      CHECK(tracker.given_up() == 1);
      CHECK(pool.Find("w1")->runs.empty());
      CHECK(book.Find(unit)->open_runs == 0);
    }
    SUBCASE(
        "a start to the former life that this one has carried out late ends before it is over") {
      report(50, 4, true, {{task, 701, "", 100, 0}}, 1);
      CHECK(tracker.given_up() == 0);
      REQUIRE(pool.Find("w1")->runs.size() == 1);
      CHECK(pool.Find("w1")->runs.begin()->second.phase == run_phase::kStopping);
      CHECK(book.Find(unit)->open_runs == 1);
    }
    SUBCASE("and a later one's, whichever way the clock went") {
      report(200, 4, true, {});
      CHECK(born() == 200);
      CHECK(pool.Find("w1")->incarnation == 2);
    }
    SUBCASE("and a later one's, though the worker was forgotten in between") {
      tracker.Drop("w1", "its VM is down", millis(35));
      report(60, 4, true, {});
      CHECK(pool.Find("w1")->incarnation == 2);
      CHECK_FALSE(pool.Find("w1")->listing);
    }
  }
  SUBCASE("lists under a number that its agent has given are believed at once") {
    report(50, 3, true, {}, 1);
    CHECK(pool.Find("w1")->listing);
    CHECK(tracker.given_up() == 1);
    SUBCASE("and the next life gets a higher one") {
      report(50, 4, true, {}, 3);
      report(200, 5, true, {});
      CHECK(pool.Find("w1")->incarnation == 4);
      CHECK_FALSE(pool.Find("w1")->listing);
    }
  }
  SUBCASE("a life that is announced and has not answered ends nothing") {
    report(200, 3, false, {});
    CHECK(born() == 100);
    CHECK(tracker.given_up() == 0);
    report(100, 4, true, {{task, 701, "", 100, 0}});
    CHECK(pool.Find("w1")->runs.size() == 1);
  }
  SUBCASE("nor do lists that its agent sent before the latest ones") {
    report(200, 1, true, {});
    CHECK(born() == 100);
    CHECK(tracker.given_up() == 0);
  }
  SUBCASE("an agent that has started again counts its reports anew") {
    tracker.OnAgentDisconnected("agent-1");
    report(50, 1, true, {});
    CHECK(born() == 50);
  }
}

// Guards against review case 3: see worker_incarnations_story.
TEST_CASE("a write that ends late confirms only ends of the life that it was made for") {
  constexpr int64_t kTerm = 7;
  job_table book(millis(250));
  worker_pool pool;
  worker_speeds speeds;
  run_tracker tracker({}, book, pool, speeds);
  const batch_config config;
  const batch_job job = MakeBatchJob("a1", "usual", 3, millis(1000), 1);
  book.Add(job, millis(0));
  tracker.Begin(kTerm);
  int64_t sequence = 0;
  const auto report = [&](int64_t born, int64_t life, std::vector<listed_end> ended) {
    worker_report said;
    said.term = kTerm;
    said.life = life;
    said.sequence = ++sequence;
    said.present = said.listed = true;
    said.worker.self = {"w1", born};
    said.ended = std::move(ended);
    tracker.On("agent-1", said, config, millis(10 * sequence));
  };
  const auto end = [&](int64_t number) {
    const std::string task = job.id + ".0.0." + std::to_string(number - 1);
    return listed_end{number, task, 600 + number, run_end::kDone, ""};
  };
  const auto stored = [&](int64_t born, int64_t number) {
    const std::vector<stored_ends> ends{{{"w1", born}, number}};
    tracker.OnEndsStored(ends);
    return pool.Find("w1") == nullptr ? 0 : pool.Find("w1")->ends_stored;
  };
  report(100, 0, {end(1), end(2)});

  SUBCASE("which is still there") { CHECK(stored(100, 2) == 2); }
  SUBCASE("and none of the next one under its id") {
    report(200, 1, {});
    CHECK(stored(100, 2) == 0);
    SUBCASE("whose own count") {
      report(200, 1, {end(1)});
      CHECK(stored(200, 1) == 1);
    }
  }
  SUBCASE("and none that is not applied again after the worker was forgotten") {
    tracker.Drop("w1", "its VM is down", millis(30));
    CHECK(stored(100, 2) == 0);
    report(100, 0, {end(1)});
    CHECK(stored(100, 2) == 1);
  }
}

TEST_CASE("a job is not shown as completed while another run of its task may still start") {
  constexpr int64_t kTerm = 7;
  job_table book(millis(250));
  worker_pool pool;
  worker_speeds speeds;
  run_tracker tracker({}, book, pool, speeds);
  const batch_config config;
  const batch_job job = MakeBatchJob("a1", "usual", 1, millis(1000), 1);
  const batch_job gang = MakeBatchJob("a2", "usual", 2, millis(1000), 1, true);
  book.Add(job, millis(0));
  book.Add(gang, millis(0));
  tracker.Begin(kTerm);
  const std::string task = job.id + ".0.0.0";
  std::map<std::string, int64_t> sequences;
  const auto report = [&](const std::string& worker, std::vector<listed_run> running,
                          std::vector<listed_end> ended, std::vector<refused_start> refused = {}) {
    worker_report said;
    said.term = kTerm;
    said.sequence = ++sequences[worker];
    said.present = said.listed = true;
    said.worker.self = {worker, 1};
    said.worker.capacity = ResourcesPerTask(job.steps[0]);
    said.running = std::move(running);
    said.ended = std::move(ended);
    said.refused = std::move(refused);
    tracker.On("agent-" + worker, said, config, millis(10));
  };
  const auto state = [&](const batch_job& of) {
    tracker.CompleteJobs(true);
    return book.Find(of.id)->state;
  };
  const auto start = [&](const batch_job& of, std::vector<std::string> workers) {
    start_plan plan;
    plan.starts.push_back({{of.id, 0, 0, 0}, std::move(workers), {}});
    tracker.Apply(plan, millis(20));
    return book.Find(unit_ref{of.id, 0, 0, 0})->run;
  };
  report("w1", {}, {});
  report("w2", {}, {});

  SUBCASE("that was ordered before the run of an earlier planner was heard of") {
    const int64_t second = start(job, {"w2"});
    report("w1", {}, {{1, task, 101, run_end::kDone, ""}});
    CHECK(book.Find(unit_ref{job.id, 0, 0, 0})->done);
    CHECK(state(job) != batch_state::kCompleted);
    tracker.Tick(millis(30), millis(30));
    REQUIRE(pool.Find("w2")->runs.size() == 1);
    CHECK(pool.Find("w2")->runs.begin()->second.phase == run_phase::kStopping);
    SUBCASE("until it is barred") {
      report("w2", {}, {}, {{task, second, start_refusal::kBarred}});
      CHECK(state(job) == batch_state::kCompleted);
    }
    SUBCASE("until it has ended") {
      report("w2", {}, {{1, task, second, run_end::kStopped, ""}});
      CHECK(state(job) == batch_state::kCompleted);
    }
    SUBCASE("until it is given up") {
      tracker.Drop("w2", "its VM is down", millis(40));
      CHECK(state(job) == batch_state::kCompleted);
    }
    SUBCASE("unless the job is cancelled meanwhile") {
      book.Cancel(job.id);
      CHECK(state(job) == batch_state::kCancelled);
    }
  }
  SUBCASE("and is shown at once when its only run is done") {
    const int64_t run = start(job, {"w1"});
    report("w1", {}, {{1, task, run, run_end::kDone, ""}});
    CHECK(state(job) == batch_state::kCompleted);
  }
  SUBCASE("and a gang is shown when one of its members has listed the end of all") {
    const int64_t run = start(gang, {"w1", "w2"});
    report("w1", {}, {{1, gang.id + ".0.0.0", run, run_end::kDone, ""}});
    CHECK(state(gang) == batch_state::kCompleted);
  }
  SUBCASE("which a new planner knows only once it has recovered") {
    book.Restore({job.id, batch_state::kRunning, {{0, 0, 0, true, {}, ""}}});
    tracker.CompleteJobs(false);
    CHECK(book.Find(job.id)->state != batch_state::kCompleted);
    CHECK(state(job) == batch_state::kCompleted);
  }
}

}  // namespace
}  // namespace eelgrass
