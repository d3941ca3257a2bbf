#include <doctest/doctest.h>

#include "kernel/batch/run_tracker.h"
#include "tests/world/batch_world.h"

namespace eelgrass {
namespace {

TEST_CASE("a new planner counts the failures that nobody has stored yet") {
  job_book book(millis(250));
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
  job_book book(millis(250));
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
      CHECK(pool.Find("w1")->life == 2);
    }
    SUBCASE("and a later one's, though the worker was forgotten in between") {
      tracker.Drop("w1", "its VM is down", millis(35));
      report(60, 4, true, {});
      CHECK(pool.Find("w1")->life == 2);
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
    tracker.OnAgentLost("agent-1");
    report(50, 1, true, {});
    CHECK(born() == 50);
  }
}

}  // namespace
}  // namespace eelgrass
