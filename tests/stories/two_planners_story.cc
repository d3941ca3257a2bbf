#include <doctest/doctest.h>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** Leaves a worker's answers unheard until its planner's grants run out, then lets it answer. */
void LoseGrants(batch_world& world, int worker, millis time) {
  world.SetMute(worker, true);
  world.events().After(time, [&world, worker] { world.SetMute(worker, false); });
}

TEST_CASE("a planner that is cut off starts nothing again that its successor keeps running") {
  constexpr int kWorker = 1;
  batch_world world;
  world.RunFor(millis(5000));
  const int first = world.Planner();
  REQUIRE(first >= 0);
  REQUIRE(first != kWorker);
  const batch_job job = MakeBatchJob("e1", "usual", 30, millis(9000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(1000));
  REQUIRE(world.worker(kWorker).running() > 0);
  LoseGrants(world, kWorker, millis(3200));
  const size_t runs = world.worker(kWorker).running();

  SUBCASE("its domain is cut off 2.2 s after the worker's last answer") {
    world.RunFor(millis(2200));
  }
  SUBCASE("its domain is cut off 2.4 s after the worker's last answer") {
    world.RunFor(millis(2400));
  }
  SUBCASE("its domain is cut off 2.6 s after the worker's last answer") {
    world.RunFor(millis(2600));
  }
  world.CutDomain(first, true);
  world.RunFor(millis(3500));
  CHECK(world.worker(kWorker).running() == runs);
  world.RunFor(millis(1500));
  world.CutDomain(first, false);
  world.RunFor(millis(2000));
  CHECK(world.Planner() != first);
  world.RunFor(millis(30000));
  RequireKept(world);
}

TEST_CASE("a planner that is cut off does not take a lease for over that its successor prolongs") {
  constexpr int kWorker = 3;
  batch_world world;
  world.RunFor(millis(5000));
  const int first = world.Planner();
  REQUIRE(first == kWorker % 3);
  const batch_job job = MakeBatchJob("e2", "usual", 30, millis(14000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(1000));
  REQUIRE(world.worker(kWorker).running() > 0);
  const size_t runs = world.worker(kWorker).running();
  world.CutDomain(first, true);
  while (world.Holder() == first) world.RunFor(millis(10));
  const int second = world.Holder();

  SUBCASE("4.5 s after it took over") { world.RunFor(millis(4500)); }
  SUBCASE("4.6 s after it took over") { world.RunFor(millis(4600)); }
  SUBCASE("4.7 s after it took over") { world.RunFor(millis(4700)); }
  world.CutDomain(first, false);
  world.CutDomain(second, true);
  world.RunFor(millis(3800));
  CHECK(world.worker(kWorker).running() == runs);
  CHECK_FALSE(world.Plans(second));
  world.CutDomain(second, false);
  world.RunFor(millis(30000));
  RequireKept(world);
}

TEST_CASE("a replaced planner starts nothing on a new life of a worker that is taken for gone") {
  millis crash{0};
  SUBCASE("it crashes 0.9 s after the cut") { crash = millis(900); }
  SUBCASE("it crashes 1.2 s after the cut") { crash = millis(1200); }
  SUBCASE("it crashes 1.5 s after the cut") { crash = millis(1500); }
  batch_world world;
  world.RunFor(millis(5000));
  const int first = world.Planner();
  REQUIRE(first >= 0);
  const batch_job job = MakeBatchJob("e4", "usual", 16, millis(9000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(1500));
  REQUIRE(world.worker(first).running() + world.worker(first + 3).running() > 0);
  world.CutDomain(first, true);
  world.RunFor(crash);
  world.RestartWorker(first, millis(1000), millis(0));
  world.RestartWorker(first + 3, millis(1000), millis(0));
  world.RunFor(millis(8000));
  world.CutDomain(first, false);
  world.RunFor(millis(30000));
  RequireKept(world);
}

}  // namespace
}  // namespace eelgrass
