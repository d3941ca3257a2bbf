#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>
#include <string>

#include "tests/world/batch_world.h"
#include "tests/world/hunt_days.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** finish_s of the platform: when nothing more comes, accepted jobs are asked for after this. */
constexpr millis kFinish{14000};

constexpr millis kWork{2500};
constexpr int64_t kWholeWorker = 8;  // accelerators

/** A queue with advice at a cluster of empty workers. */
struct advised_cluster {
  batch_world world;
  std::vector<std::string> jobs;

  explicit advised_cluster(int workers,
                           const advice_policy& times = {true, millis(400), millis(50),
                                                         millis(3000)},
                           std::string_view queue = "usual")
      : world(Options(workers)) {
    world.Advise(queue, times);
    world.RunFor(millis(5000));
  }

  static batch_world_options Options(int workers) {
    batch_world_options options;
    options.workers = workers;
    options.worker.stop_time = millis(900);
    return options;
  }

  std::string HandIn(std::string_view queue, int members, int64_t accelerators, bool gang = true,
                     millis work = kWork) {
    char id[16];
    std::snprintf(id, sizeof id, "a%02x", static_cast<unsigned>(jobs.size()));
    const batch_job job = MakeBatchJob(id, queue, members, work, accelerators, gang);
    world.Submit(job);
    world.Watch(job.id);
    jobs.push_back(job.id);
    return job.id;
  }

  bool Began(std::string_view job) {
    return world.check().began(std::string(job) + ".0.0.0").has_value();
  }
  int BeganCount() {
    return static_cast<int>(
        std::count_if(jobs.begin(), jobs.end(), [this](const auto& job) { return Began(job); }));
  }
  int BeganTasks(const std::string& job, int tasks) {
    int began = 0;
    for (int i = 0; i < tasks; ++i) {
      began += world.check().began(job + ".0.0." + std::to_string(i)) ? 1 : 0;
    }
    return began;
  }
  ticket_statistics Tickets() { return world.PlannerStats(world.Planner()).tickets; }
};

/** A policy that refuses each step one worker of three, others for each step. */
bool TwoOfThree(std::string_view step, std::string_view worker) {
  return std::hash<std::string>()(std::string(step) + std::string(worker)) % 3 != 0;
}

bool OneOfFour(std::string_view step, std::string_view worker) {
  return std::hash<std::string>()(std::string(step) + std::string(worker)) % 4 == 0;
}

struct gang_burst {
  int gangs = 0;
  int members = 0;
  int64_t accelerators = 0;  // of each member
};

/** Gangs that come at once have all started within a time, and none was refused a ticket. */
void RequireStarted(int workers, const advice_policy& times, const gang_burst& burst, millis within,
                    const fake_advice::policy& allowed = {}, int slowness = 1) {
  advised_cluster cluster(workers, times);
  cluster.world.advice().SetSlowness(slowness);
  cluster.world.advice().SetPolicy(allowed);
  for (int i = 0; i < burst.gangs; ++i) cluster.HandIn("usual", burst.members, burst.accelerators);
  cluster.world.RunFor(within);
  CHECK(cluster.BeganCount() == burst.gangs);
  CHECK(cluster.world.advice().starts_refused() == 0);
  RequireKept(cluster.world);
}

// Guards against review case 12: the first tickets of a step expired before its second call was
// answered, as other steps were asked for in between, so that no gang ever started (LOST).
TEST_CASE("gangs that need tickets for many workers come at once") {
  constexpr advice_policy kTimes{true, millis(400), millis(50), millis(3000)};
  SUBCASE("all of them start") { RequireStarted(32, kTimes, {4, 14, kWholeWorker}, kFinish); }
  SUBCASE("so they do where there are more of them") {
    RequireStarted(32, kTimes, {8, 14, kWholeWorker}, kFinish * 2);
  }
  SUBCASE("so they do where one call lasts longer than a ticket") {
    constexpr advice_policy kShortLived{true, millis(400), millis(50), millis(800)};
    RequireStarted(32, kShortLived, {4, 14, kWholeWorker}, kFinish);
  }
  SUBCASE("so they do where the policy refuses some workers") {
    RequireStarted(32, kTimes, {4, 14, kWholeWorker}, kFinish * 2, TwoOfThree);
  }
  SUBCASE("so they do where the policy refuses most workers") {
    RequireStarted(60, kTimes, {4, 8, kWholeWorker}, kFinish * 3, OneOfFour);
  }
  SUBCASE("so they do where the service takes five times as long as its policy says") {
    RequireStarted(32, kTimes, {4, 14, kWholeWorker}, kFinish * 5, {}, 5);
  }
  SUBCASE("so they do where it does so and the policy refuses some workers") {
    RequireStarted(32, kTimes, {4, 14, kWholeWorker}, kFinish * 10, TwoOfThree, 5);
  }
  SUBCASE("so they do where they are as wide as half of the cluster") {
    RequireStarted(96, kTimes, {4, 48, kWholeWorker}, kFinish * 2);
  }
  SUBCASE("so they do where they share workers") {
    RequireStarted(16, kTimes, {4, 60, 2}, kFinish * 2);
  }
}

TEST_CASE("a gang needs more workers than one call may name") {
  constexpr int kMembers = 108;
  SUBCASE("it starts if its first tickets outlast the second call") {
    advised_cluster cluster(kMembers, {true, millis(400), millis(10), millis(3000)});
    const std::string gang = cluster.HandIn("usual", kMembers, kWholeWorker);
    cluster.world.RunFor(kFinish);
    CHECK(cluster.Began(gang));
    CHECK(cluster.world.advice().calls() == 2);
    RequireKept(cluster.world);
  }
  SUBCASE("otherwise it is reported, and takes no calls from the others") {
    advised_cluster cluster(kMembers, {true, millis(2700), millis(10), millis(3000)});
    const std::string gang = cluster.HandIn("usual", kMembers, kWholeWorker);
    cluster.world.RunFor(kFinish);
    CHECK(cluster.Tickets().unattainable == 1);
    CHECK(cluster.world.advice().calls() == 0);
    const std::string small = cluster.HandIn("usual", 2, kWholeWorker);
    cluster.world.RunFor(millis(4000));
    CHECK(cluster.Began(small));
    CHECK_FALSE(cluster.Began(gang));
  }
}

// Guards against steps that keep others from their tickets, or use up the room meanwhile.
TEST_CASE("a gang and small steps need tickets") {
  advised_cluster cluster(32);
  SUBCASE("the gang starts while small steps come faster than calls are answered") {
    std::string gang;
    for (int i = 0; i < 56; ++i) {
      cluster.HandIn("usual", 1, 1, false);
      if (i == 10) gang = cluster.HandIn("usual", 20, kWholeWorker);
      cluster.world.RunFor(millis(250));
    }
    CHECK(cluster.Began(gang));
  }
  SUBCASE("small steps start while a gang of which every worker is refused waits") {
    cluster.world.advice().SetPolicy([](std::string_view step, std::string_view) {
      return step.substr(0, step.find('.')) != "0000000000000a00";
    });
    const std::string gang = cluster.HandIn("usual", 20, kWholeWorker);
    for (int i = 0; i < 4; ++i) cluster.HandIn("usual", 1, 1, false);
    cluster.world.RunFor(kFinish);
    CHECK(cluster.BeganCount() == 4);
    CHECK_FALSE(cluster.Began(gang));
    CHECK(cluster.Tickets().unattainable == 1);
  }
  SUBCASE("the gang starts although tasks without tickets take any room that it could use") {
    std::string gang;
    for (int i = 0; i < 56; ++i) {
      for (int k = 0; k < 12; ++k) cluster.HandIn("batch", 1, kWholeWorker, false, millis(800));
      if (i == 8) gang = cluster.HandIn("usual", 20, kWholeWorker);
      cluster.world.RunFor(millis(250));
    }
    CHECK(cluster.Began(gang));
  }
}

// Guards against room that is held for tickets that nobody gives.
TEST_CASE("the service does not answer while a gang that could start needs tickets") {
  advised_cluster cluster(32);
  cluster.world.advice().SetAnswers(false);
  const std::string gang = cluster.HandIn("usual", 30, kWholeWorker);
  cluster.world.RunFor(millis(10000));
  const std::string other = cluster.HandIn("batch", 8, kWholeWorker, false);
  SUBCASE("less urgent work that needs no tickets uses the room") {
    cluster.world.RunFor(millis(3000));
    CHECK(cluster.BeganTasks(other, 8) == 8);
  }
  SUBCASE("the gang starts once the service answers again") {
    cluster.world.advice().SetAnswers(true);
    cluster.world.RunFor(kFinish);
    CHECK(cluster.Began(gang));
  }
}

// Guards against tickets that expire while preempted runs end, so that the start is refused.
TEST_CASE("an urgent gang has to preempt and needs tickets") {
  advised_cluster cluster(16, {true, millis(100), millis(20), millis(900)}, "urgent");
  for (int i = 0; i < 16; ++i) cluster.HandIn("batch", 1, kWholeWorker, false, millis(60000));
  cluster.world.RunFor(millis(6000));
  const std::string gang = cluster.HandIn("urgent", 2, kWholeWorker);

  SUBCASE("it starts although stopping the others takes as long as tickets last") {
    cluster.world.RunFor(millis(8000));
    CHECK(cluster.Began(gang));
    CHECK(cluster.world.advice().starts_refused() == 0);
  }
}

/** Gangs and single tasks of a queue with advice, tasks of another one, and faults between them. */
void PlayRandomDay(uint64_t seed) {
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  const auto pick = [&](int least, int most) {
    return least + static_cast<int>(random() % static_cast<uint64_t>(most - least + 1));
  };
  const int workers = pick(6, 40);
  const advice_policy times{true, millis(pick(20, 800)), millis(pick(2, 80)),
                            millis(pick(300, 4000))};
  advised_cluster cluster(workers, times, pick(0, 1) == 0 ? "urgent" : "usual");
  const char* advised = cluster.world.advice().Covers("urgent") ? "urgent" : "usual";
  const bool refuses = pick(0, 1) == 0;
  if (refuses) cluster.world.advice().SetPolicy(TwoOfThree);
  for (int step = 0; step < 30; ++step) {
    const millis work(pick(500, 3000));
    if (pick(0, 1) == 0) {
      // Two of three may be fewer by chance.
      const int members = pick(1, std::max(1, refuses ? workers / 3 : workers));
      const int accelerators = pick(1, 8);
      const bool gang = pick(0, 2) != 0;
      cluster.HandIn(advised, members, accelerators, gang, work);
    } else {
      const int tasks = pick(1, workers);
      const int accelerators = pick(1, 8);
      cluster.HandIn("batch", tasks, accelerators, false, work);
    }
    const int fault = pick(0, 14);
    const int machine = pick(0, workers - 1);
    const millis down(pick(500, 5000));
    const int slowness = pick(1, 6);
    if (fault == 0) cluster.world.advice().SetAnswers(false);
    if (fault > 10) cluster.world.advice().SetAnswers(true);
    if (fault == 1 && cluster.world.Planner() >= 0) {
      cluster.world.KillEntry(cluster.world.Planner(), down);
    }
    if (fault == 4) cluster.world.advice().SetSlowness(slowness);
    if (fault == 2) cluster.world.CrashWorker(machine, down);
    if (fault == 3) cluster.world.KillAgent(machine, down);
    cluster.world.RunFor(millis(pick(50, 1500)));
  }
  cluster.world.advice().SetAnswers(true);
  cluster.world.RunFor(millis(240000));
  RequireKept(cluster.world);
}

TEST_CASE("random queues with advice, with random times and policies of the service") {
  PlayDays(12, PlayRandomDay);
}

TEST_CASE("calls for advice fail while a gang gathers its tickets") {
  advised_cluster cluster(32);
  for (int i = 0; i < 4; ++i) cluster.HandIn("usual", 14, kWholeWorker);
  cluster.world.RunFor(millis(500));

  SUBCASE("all gangs start once the service answers again") {
    cluster.world.advice().SetAnswers(false);
    cluster.world.RunFor(millis(5000));
    cluster.world.advice().SetAnswers(true);
    cluster.world.RunFor(kFinish);
    CHECK(cluster.BeganCount() == 4);
    CHECK(cluster.Tickets().failed_calls > 0);
  }
  SUBCASE("all gangs start at the next planner") {
    cluster.world.KillEntry(cluster.world.Planner(), millis(2000));
    cluster.world.RunFor(kFinish * 2);
    CHECK(cluster.BeganCount() == 4);
  }
  RequireKept(cluster.world);
}

}  // namespace
}  // namespace eelgrass
