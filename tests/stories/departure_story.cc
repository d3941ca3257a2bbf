#include <doctest/doctest.h>

#include "kernel/batch/departure_watch.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** Loses VMs of workers while a gang runs on every worker; the agents beside them live on. */
struct departures {
  batch_world world;
  batch_job job = MakeBatchJob("a1", "usual", 6, millis(4000), 8, true);
  millis crashed{0};

  void Begin() {
    world.RunFor(millis(5000));
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(1000));
    REQUIRE(world.check().began(job.id + ".0.0.0").has_value());
    crashed = world.now();
  }
  millis Took() {
    world.RunFor(millis(30000));
    RequireKept(world);
    REQUIRE(world.check().completed(job.id).has_value());
    return *world.check().completed(job.id) - crashed;
  }
};

TEST_CASE("a worker's VM goes down while a gang runs") {
  departures story;
  story.Begin();

  SUBCASE("the list of VMs says so: the gang starts again before the lease is over") {
    story.world.CrashWorker(0, millis(800));
    CHECK(story.Took() < millis(4000 + 2500));
    CHECK(story.world.vm_lists() > 0);
  }
  SUBCASE("nobody answers for the list: the lease decides") {
    story.world.SetVmList(false);
    story.world.CrashWorker(0, millis(9000));
    CHECK(story.Took() > millis(4000));
  }
}

TEST_CASE("a worker that is cut off runs on, and its VM is up") {
  departures story;
  story.Begin();
  story.world.CutAgent(0, true);
  story.world.RunFor(millis(3000));
  CHECK(story.world.vm_lists() > 0);
  CHECK(story.world.worker(0).running() > 0);
  story.world.RunFor(millis(6000));
  story.world.CutAgent(0, false);
  story.Took();
}

TEST_CASE("a planner takes over after a worker has gone for good") {
  batch_world world;
  world.RunFor(millis(5000));
  world.CrashWorker(0, millis(20000));
  world.KillEntry(world.Planner(), millis(20000));
  world.RunFor(millis(3000));
  const batch_job job = MakeBatchJob("b1", "urgent", 2, millis(500), 1, true);
  const millis handed_in = world.now();
  world.Submit(job);
  world.RunFor(millis(20000));
  const auto began = world.check().began(job.id + ".0.0.0");
  REQUIRE(began.has_value());
  CHECK(*began - handed_in < millis(1500));
}

TEST_CASE("the list of VMs") {
  departure_watch watch;
  const std::vector<std::string> silent = {"w1", "w2", "w3", "w4"};
  SUBCASE("is not asked for while nobody is silent") {
    CHECK_FALSE(watch.Next({}, millis(1000)).has_value());
  }
  SUBCASE("proves workers gone that it does not name, or whose VM is not up") {
    const auto request = watch.Next(silent, millis(1000));
    REQUIRE(request.has_value());
    CHECK_FALSE(watch.Next(silent, millis(1400)).has_value());
    vm_listing listing{request->at, true, {}};
    listing.vms.push_back({"vm-1", vm_state::kUp, "w1"});
    listing.vms.push_back({"vm-2", vm_state::kDown, "w2"});
    listing.vms.push_back({"vm-3", vm_state::kUnknown, "w3"});
    listing.vms.push_back({"vm-4", vm_state::kUp, "w9"});
    CHECK(watch.On(listing) == std::vector<std::string>{"w2", "w4"});
    CHECK(watch.Next(silent, millis(1600)).has_value());
  }
  SUBCASE("proves nothing when it could not be read") {
    const auto request = watch.Next(silent, millis(1000));
    CHECK(watch.On({request->at, false, {}}).empty());
  }
  SUBCASE("is not taken for the answer to a later request") {
    watch.Next(silent, millis(1000));
    watch.Next(silent, millis(9000));
    CHECK(watch.On({millis(1000), true, {}}).empty());
  }
}

}  // namespace
}  // namespace eelgrass
