#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "kernel/batch/worker_incarnations.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr int kWorker = 1;
constexpr uint64_t kSeeds = 12;  // each draws when late calls are carried out

/** A job every second; each worker ends some of its tasks. */
void EndTasks(batch_world& world, const std::string& name, int seconds) {
  for (int i = 0; i < seconds; ++i) {
    const batch_job job = MakeBatchJob(name + std::to_string(10 + i), "usual", 24, millis(700), 1);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(1000));
  }
}

TEST_CASE("a hold that the next incarnation carries out forgets no end that nobody has read") {
  double late = 0;
  SUBCASE("sent before it was announced") {}
  SUBCASE("sent to the former incarnation and carried out late") {
    SUBCASE("once in a while") { late = 0.3; }
    SUBCASE("as all holds are") { late = 1; }
  }
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    batch_world_options options;
    options.seed = seed;
    batch_world world(options);
    world.SetLongestAnnouncement(millis(1500));
    world.RunFor(millis(5000));
    EndTasks(world, "e", 3);
    world.SetLateHolds(late);
    EndTasks(world, "f", 3);
    world.SetLateHolds(0);
    world.RestartWorker(kWorker, millis(300), millis(0));
    EndTasks(world, "a", 12);
    world.RunFor(millis(60000));
    RequireKept(world);
  }
}

TEST_CASE("a worker that refuses connections runs on") {
  batch_world world;
  world.RunFor(millis(5000));
  world.RestartWorker(kWorker, millis(300), millis(0));
  world.RunFor(millis(3000));
  const batch_job job = MakeBatchJob("e1", "usual", 30, millis(6000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(1000));
  REQUIRE(world.worker(kWorker).running() > 0);
  world.SetRefusing(kWorker, true);
  SUBCASE("while nobody reports its departure") {}
  SUBCASE("while the departure of its former incarnation comes late") {
    world.LateLeave(kWorker, true);
  }
  world.RunFor(millis(2500));
  world.SetRefusing(kWorker, false);
  world.RunFor(millis(30000));
  RequireKept(world);
}

TEST_CASE("a hold that is carried out while the agent is away forgets no end unread") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    batch_world_options options;
    options.seed = seed;
    batch_world world(options);
    world.RunFor(millis(5000));
    EndTasks(world, "e", 3);
    world.SetLateHolds(0.3);
    EndTasks(world, "f", 3);
    world.SetLateHolds(0);
    world.KillAgent(kWorker, millis(9000));
    world.RestartWorker(kWorker, millis(300), millis(0));
    EndTasks(world, "a", 12);
    world.RunFor(millis(60000));
    RequireKept(world);
  }
}

TEST_CASE("a worker that says that it leaves and refuses connections runs on until it ends") {
  for (const int64_t linger : {300, 900, 1500, 3000}) {
    CAPTURE(linger);
    batch_world_options options;
    options.workers = 2;
    batch_world world(options);
    world.RunFor(millis(4000));
    const batch_job job = MakeBatchJob("e1", "usual", 1, millis(6000), 1);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(1500));
    const int at = world.worker(0).running() > 0 ? 0 : 1;
    world.SetRefusing(at, true);
    world.LeaveUnheard(at, millis(linger), millis(2000));
    world.RunFor(millis(linger));
    world.SetRefusing(at, false);
    world.RunFor(millis(40000));
    RequireKept(world);
  }
}

TEST_CASE("a start of an agent's former process is not refused by the next one alone") {
  std::function<void(batch_world&)> part = [](batch_world&) {};
  SUBCASE("while its worker drains") {
    part = [](batch_world& world) { world.DrainWorker(kWorker); };
  }
  SUBCASE("while its worker goes on") {}
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    batch_world_options options;
    options.seed = seed;
    batch_world world(options);
    world.RunFor(millis(5000));
    world.SetLateOrders(1);
    const batch_job job = MakeBatchJob("e1", "usual", 30, millis(9000), 1);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(300));
    world.SetLateOrders(0);
    world.KillAgent(kWorker, millis(300));
    part(world);
    world.RunFor(millis(60000));
    RequireKept(world);
  }
}

TEST_CASE("an agent that has just started refuses no start before its worker has barred it") {
  constexpr int64_t kTerm = 5;
  const run_ref run{"a.0.0.0", 501};
  worker_incarnations worker;
  worker.SetTerm(kTerm, millis(1000));
  worker_heartbeat beat;
  beat.worker.self = {"w1", 100};
  beat.worker.address = "10.0.0.1:80";
  beat.sequence = 1;
  beat.clock_ms = 1000;
  millis now(1000);
  std::vector<worker_call> calls;
  const auto pass = [&](millis time) {
    now += time;
    calls.clear();
    worker.Tick(now, calls);
  };
  const auto answer_holds = [&] {
    for (const auto& call : calls) {
      const auto* hold = std::get_if<hold_call>(&call);
      if (hold == nullptr) continue;
      hold_answer lists;
      lists.worker = hold->worker;
      lists.fence = hold->fence;
      lists.sent = hold->sent;
      lists.outcome = call_outcome::kDone;
      lists.born_ms = 100;
      lists.clock_ms = now.count();
      worker.On(lists, now);
    }
  };
  const auto called = [&](auto kind) {
    return std::any_of(calls.begin(), calls.end(), [](const auto& call) {
      return std::holds_alternative<decltype(kind)>(call);
    });
  };
  const auto refused = [&] { return worker.Find("w1")->Report(9, now).refused.size(); };
  const auto drain = [&] {
    beat.worker.draining = true;
    ++beat.sequence;
    worker.On(beat, now);
  };
  const auto order = [&] {
    worker.Find("w1")->Report(1, now);
    worker_order wanted;
    wanted.term = kTerm;
    wanted.sequence = 1;
    wanted.worker = {"w1", 100};
    wanted.grant_sequence = 1;
    wanted.grant_ms = 4000;
    wanted.starts.push_back({run.task, run.run, "", ""});
    worker.Find("w1")->On(wanted, now);
  };
  worker.On(beat, now);
  pass(millis(0));
  answer_holds();

  SUBCASE("which a former process of the agent may have sent") {
    SUBCASE("and which the worker refuses to this one") {
      order();
      pass(millis(10));
      REQUIRE(called(start_call{}));
      worker.Find("w1")->On(
          start_answer{
              {"w1", 100}, run, FenceOf(kTerm, 0), call_outcome::kRefused, start_refusal::kRoom},
          now);
    }
    SUBCASE("and which this one does not send, as the worker drains") {
      drain();
      order();
      pass(millis(10));
      CHECK_FALSE(called(start_call{}));
    }
    answer_holds();
    CHECK(refused() == 0);
    pass(millis(100));
    REQUIRE(called(stop_call{}));
    worker.Find("w1")->On(stop_answer{{"w1", 100}, run, FenceOf(kTerm, 0), call_outcome::kDone},
                          now);
    CHECK(refused() == 0);
    answer_holds();
    pass(millis(200));
    answer_holds();
    CHECK(refused() == 1);
  }
  SUBCASE("unless no call of a former process can still be carried out") {
    now += kLatestExecution;
    drain();
    pass(millis(0));
    answer_holds();
    order();
    pass(millis(10));
    CHECK(refused() == 1);
  }
}

TEST_CASE("a run that began late on a worker that nobody reaches lasts as long as its lease") {
  millis longest_hold(6000);
  SUBCASE("of six seconds") {}
  SUBCASE("of ten seconds") { longest_hold = millis(10000); }
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    batch_world_options options;
    options.seed = seed;
    options.worker.longest_hold = longest_hold;
    batch_world world(options);
    world.RunFor(millis(40000));
    world.SetLateOrders(1);
    const batch_job job = MakeBatchJob("e1", "usual", 30, millis(9000), 1);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(300));
    world.SetLateOrders(0);
    world.RunFor(millis(400));
    world.KillAgent(kWorker, millis(30000));
    world.RestartWorker(kWorker, millis(1000), millis(0));
    world.RunFor(millis(60000));
    RequireKept(world);
  }
}

}  // namespace
}  // namespace eelgrass
