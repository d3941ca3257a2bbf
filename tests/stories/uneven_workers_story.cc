#include <doctest/doctest.h>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr millis kGangWork{3000};

/** Urgent gangs that come every second and a half to a cluster that wide batch jobs keep full. */
struct urgent_stream {
  batch_world world;
  std::vector<std::pair<std::string, millis>> gangs;  // with when they were handed in

  explicit urgent_stream(batch_world_options options) : world(std::move(options)) {
    // In time means: at once, and on workers that are as fast as most.
    world.Configure([](batch_config& config) {
      config.queues[0].stretch = 1.1;
      config.queues[0].target_latency = millis(400);
    });
    world.RunFor(millis(5000));
  }
  void HandIn(const batch_job& job) {
    world.Submit(job);
    world.Watch(job.id);
  }
  void HandInBatch(std::string_view id) {
    batch_job job = MakeBatchJob(id, "batch", 150, millis(3000), 1);
    job.organisation = "brokers";
    job.steps[0].checkpoints = false;
    HandIn(job);
  }
  void HandInGang(int number) {
    char id[16];
    std::snprintf(id, sizeof id, "e%02x", number);
    const batch_job job = MakeBatchJob(id, "urgent", 2, kGangWork, 6, true);
    gangs.emplace_back(job.id, world.now());
    HandIn(job);
  }
  int InTime(size_t first) {
    int count = 0;
    for (size_t i = first; i < gangs.size(); ++i) {
      const auto completed = world.check().completed(gangs[i].first);
      // Callers ask every half second.
      if (completed && *completed - gangs[i].second < kGangWork + millis(500 + 500)) ++count;
    }
    return count;
  }
};

TEST_CASE("urgent gangs come again and again to a full cluster of uneven workers") {
  batch_world_options options;
  options.workers = 12;
  options.worker.stop_time = millis(900);
  options.time_percent = {{1, 140}, {4, 140}, {7, 140}, {10, 140}};
  urgent_stream stream(options);
  stream.HandInBatch("b1");
  stream.world.RunFor(millis(4000));
  stream.HandInBatch("b2");
  for (int i = 0; i < 16; ++i) {
    stream.HandInGang(i);
    stream.world.RunFor(millis(1500));
    if (i == 7) stream.HandInBatch("b3");
  }
  stream.world.RunFor(millis(40000));
  SUBCASE("once speeds and peaks are known, three of four are served at once and at full speed") {
    CHECK(stream.InTime(4) >= 9);
  }
  SUBCASE("and the batch jobs are in time as well") {
    for (const std::string id : {"b1", "b2", "b3"}) {
      CHECK(stream.world.check().completed(std::string(14, '0') + id).has_value());
    }
  }
  RequireKept(stream.world);
}

TEST_CASE("most workers are slow, and most of the slow ones leave for good") {
  constexpr int kWorkers = 11;
  constexpr int kSlow = 7;
  batch_world_options options;
  options.workers = kWorkers;
  for (int i = 0; i < kSlow; ++i) options.time_percent[i] = 300;
  urgent_stream stream(options);
  for (const char* id : {"b1", "b2", "b3"}) {
    stream.HandInBatch(id);
    stream.world.RunFor(millis(12000));
  }
  for (int i = 0; i + 1 < kSlow; ++i) stream.world.TakeAway(i, millis(1000), millis(600000));
  stream.world.RunFor(millis(30000));
  SUBCASE("urgent gangs run on the usual workers, not on the slow one that is left") {
    for (int i = 0; i < 3; ++i) {
      const batch_job job = MakeBatchJob("e" + std::to_string(i), "urgent", 4, kGangWork, 8, true);
      stream.gangs.emplace_back(job.id, stream.world.now());
      stream.HandIn(job);
      stream.world.RunFor(millis(12000));
    }
    CHECK(stream.InTime(0) == 3);
  }
  RequireKept(stream.world);
}

TEST_CASE("a worker is taken away at short notice") {
  batch_world world;
  world.RunFor(millis(5000));

  SUBCASE("a gang that cannot end before goes on elsewhere while the worker is still there") {
    const batch_job job = MakeBatchJob("c1", "usual", 2, millis(8000), 8, true);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(2000));
    const auto began = world.check().began(job.id + ".0.0.0");
    REQUIRE(began.has_value());
    int member = -1;
    for (int i = 0; i < world.workers(); ++i) {
      if (world.worker(i).running() > 0) member = i;
    }
    REQUIRE(member >= 0);
    world.TakeAway(member, millis(2500), millis(60000));
    world.RunFor(millis(2400));
    CHECK(world.check().starts() == 4);
    CHECK(world.check().ends(run_end::kStopped) == 2);
    SUBCASE("from what it had saved") {
      world.RunFor(millis(6000));
      const auto completed = world.check().completed(job.id);
      REQUIRE(completed.has_value());
      CHECK(*completed - *began < millis(8000 + 2000));
      RequireKept(world);
    }
  }
  SUBCASE("a task that ends before is left alone") {
    const batch_job job = MakeBatchJob("c2", "usual", 1, millis(3000), 8);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(1500));
    for (int i = 0; i < world.workers(); ++i) {
      if (world.worker(i).running() > 0) world.TakeAway(i, millis(2500), millis(60000));
    }
    world.RunFor(millis(3000));
    CHECK(world.check().starts() == 1);
    CHECK(world.check().completed(job.id).has_value());
    RequireKept(world);
  }
}

TEST_CASE("a guaranteed job needs room that later and urgent work have taken") {
  batch_world world;
  world.RunFor(millis(5000));
  batch_job filler = MakeBatchJob("d1", "batch", 24, millis(30000), 1);
  filler.organisation = "brokers";
  filler.steps[0].checkpoints = false;
  world.Submit(filler);
  world.RunFor(millis(4000));
  // Of the brokers' urgent work only 8 accelerators are guaranteed.
  for (const std::string id : {"d2", "d3", "d4"}) {
    batch_job urgent = MakeBatchJob(id, "urgent", 1, millis(8000), 8);
    urgent.organisation = "brokers";
    urgent.steps[0].checkpoints = false;
    world.Submit(urgent);
    world.RunFor(millis(300));
  }
  REQUIRE(world.check().starts() == 27);
  world.Submit(MakeBatchJob("d5", "urgent", 1, millis(2000), 8));
  world.RunFor(millis(1500));
  CHECK(world.check().began(std::string(14, '0') + "d5.0.0.0").has_value());

  SUBCASE("what is less urgent makes it, though it has done more work") {
    CHECK(world.check().ends(run_end::kStopped) == 8);
  }
}

}  // namespace
}  // namespace eelgrass
