#include <doctest/doctest.h>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

TEST_CASE("a batch job's way") {
  batch_world world;
  world.RunFor(millis(5000));
  REQUIRE(world.Planner() >= 0);

  SUBCASE("from handing in to its end") {
    const batch_job job = MakeBatchJob("a1", "usual", 4, millis(2000), 1);
    world.Submit(job);
    world.RunFor(millis(200));
    CHECK(world.check().accepted(job.id));
    CHECK(world.check().starts() == 4);
    world.Watch(job.id);
    world.RunFor(millis(4000));
    CHECK(world.check().completed(job.id).has_value());
    RequireKept(world);
  }
  SUBCASE("a gang begins whole, and its run is one") {
    const batch_job job = MakeBatchJob("a2", "usual", 6, millis(2000), 4, true);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(5000));
    CHECK(world.check().starts() == 6);
    CHECK(world.check().ends(run_end::kDone) == 6);
    CHECK(world.check().ends(run_end::kAlone) == 0);
    RequireKept(world);
  }
  SUBCASE("later steps wait for earlier ones") {
    batch_job job = MakeBatchJob("a3", "usual", 2, millis(1000), 1);
    batch_step second = job.steps[0];
    second.after = {0};
    job.steps.push_back(second);
    job.spec = BehaviorText({{1000}, {1000}});
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(600));
    CHECK(world.check().starts() == 2);
    world.RunFor(millis(5000));
    CHECK(world.check().starts() == 4);
    CHECK(*world.check().began(job.id + ".0.1.0") >=
          *world.check().began(job.id + ".0.0.1") + millis(1000));
    RequireKept(world);
  }
  SUBCASE("a job that fails too often has failed") {
    batch_job job = MakeBatchJob("a4", "usual", 1, millis(600), 1);
    job.spec = BehaviorText({{600, 0, 9}});
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(6000));
    CHECK(world.check().ends(run_end::kFailed) == 3);
    RequireKept(world);
  }
  SUBCASE("a job that fails once runs again") {
    batch_job job = MakeBatchJob("a5", "usual", 1, millis(600), 1);
    job.spec = BehaviorText({{600, 0, 1}});
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(4000));
    CHECK(world.check().completed(job.id).has_value());
    RequireKept(world);
  }
  SUBCASE("a cancelled job's tasks stop, and nothing of it starts any more") {
    const batch_job job = MakeBatchJob("a6", "usual", 100, millis(3000), 1);
    world.Submit(job);
    world.RunFor(millis(1000));
    world.Cancel(job.id);
    world.RunFor(millis(1000));
    const int starts = world.check().starts();
    for (int i = 0; i < world.workers(); ++i) CHECK(world.worker(i).running() == 0);
    world.RunFor(millis(5000));
    CHECK(world.check().starts() == starts);
    RequireKept(world);
  }
  SUBCASE("scheduled occurrences begin when they are due, not earlier") {
    batch_job job = MakeBatchJob("a7", "usual", 1, millis(300), 1);
    job.occurrences = 3;
    job.first_start = millis(1700000000000) + world.now() + millis(2000);
    job.interval = millis(1000);
    const millis due = world.now() + millis(2000);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(7000));
    for (int k = 0; k < 3; ++k) {
      const auto began = world.check().began(job.id + "." + std::to_string(k) + ".0.0");
      REQUIRE(began.has_value());
      CHECK(*began >= due + millis(1000) * k - millis(250));
      CHECK(*began <= due + millis(1000) * k + millis(400));
    }
    RequireKept(world);
  }
  SUBCASE("a job handed in at several entries is one job") {
    const batch_job job = MakeBatchJob("a8", "usual", 2, millis(1000), 1);
    for (int i = 0; i < 5; ++i) world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(4000));
    CHECK(world.check().starts() == 2);
    RequireKept(world);
  }
  SUBCASE("no task is placed where its label, its bound or the room forbid it") {
    batch_job job = MakeBatchJob("a9", "usual", 4, millis(1000), 1);
    job.steps[0].max_per_worker = 1;
    job.steps[0].required_label = "rack-0";
    world.Submit(job);
    world.RunFor(millis(500));
    // Three workers have the label.
    CHECK(world.check().starts() == 3);
    for (int i = 0; i < 3; ++i) CHECK(world.worker(i).running() == 1);
    for (int i = 3; i < 6; ++i) CHECK(world.worker(i).running() == 0);
  }
}

TEST_CASE("guarantees of batch organisations") {
  batch_world world;
  world.RunFor(millis(5000));

  SUBCASE("others may fill everything, and still make room in time") {
    batch_job borrower = MakeBatchJob("b1", "batch", 48, millis(60000), 1);
    borrower.organisation = "brokers";
    world.Submit(borrower);
    world.RunFor(millis(1000));
    REQUIRE(world.check().starts() == 48);
    const batch_job urgent = MakeBatchJob("b2", "urgent", 2, millis(1000), 8, true);
    const millis handed_in = world.now();
    world.Submit(urgent);
    world.RunFor(millis(2500));
    for (int member = 0; member < 2; ++member) {
      const auto began = world.check().began(urgent.id + ".0.0." + std::to_string(member));
      REQUIRE(began.has_value());
      CHECK(*began - handed_in < millis(2700));
    }
    SUBCASE("and what was stopped goes on from its checkpoint") {
      world.RunFor(millis(3000));
      CHECK(world.check().ends(run_end::kStopped) == 16);
      CHECK(world.check().starts() == 48 + 2 + 16);
    }
  }
  SUBCASE("what is guaranteed itself is not stopped") {
    batch_job first = MakeBatchJob("b3", "urgent", 1, millis(20000), 8);
    first.organisation = "brokers";
    world.Submit(first);
    batch_job filler = MakeBatchJob("b4", "batch", 40, millis(60000), 1);
    world.Submit(filler);
    world.RunFor(millis(1000));
    world.Submit(MakeBatchJob("b5", "urgent", 2, millis(20000), 8, true));
    world.RunFor(millis(2500));
    CHECK(world.check().began("00000000000000b5.0.0.0").has_value());
    int urgent_running = 0;
    for (int i = 0; i < world.workers(); ++i) urgent_running += world.worker(i).running() == 1;
    CHECK(urgent_running == 3);
  }
}

}  // namespace
}  // namespace eelgrass
