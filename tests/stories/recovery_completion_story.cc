#include <doctest/doctest.h>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

TEST_CASE("a job is not shown as completed in a recovery while its second run may still start") {
  batch_world_options options;
  options.workers = 2;
  batch_world world(options);
  world.RunFor(millis(5000));
  const batch_job job = MakeBatchJob("9c1", "usual", 1, millis(3000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(500));
  REQUIRE(world.check().starts() == 1);
  const int first = world.worker(0).running() > 0 ? 0 : 1;
  const int second = 1 - first;

  // The first run ends well while nobody hears of it, and its lease lapses after that.
  world.CutAgent(first, true);
  world.RunFor(millis(3400));
  REQUIRE(world.check().ends(run_end::kDone) == 1);
  // The planner orders a second run. The start gets no answer.
  world.SetLateOrders(1.0);
  world.RunFor(millis(2000));
  REQUIRE(world.check().starts() == 1);
  REQUIRE_FALSE(world.check().completed(job.id).has_value());

  // Another planner takes over. It hears of the first run, and not of the second worker.
  world.CutAgent(second, true);
  world.KillEntry(world.Planner(), millis(20000));
  world.CutAgent(first, false);
  // Callers ask every entry, also the one that does not answer.
  for (int i = 0; i < world.entries(); ++i) world.Watch(job.id);
  const auto shown = [&] { return world.check().completed(job.id).has_value(); };
  world.RunFor(millis(1800));
  REQUIRE(world.check().starts() == 1);
  CHECK_FALSE(shown());

  SUBCASE("its agent calls again while the lease lasts: the run starts, and is stopped") {
    world.SetLateOrders(0);
    world.RunFor(millis(800));
    REQUIRE(world.check().starts() == 2);
    CHECK_FALSE(shown());
  }
  SUBCASE("its agent is heard before it calls again: the run is barred, and the job is shown") {
    world.CutAgent(second, false);
    world.RunFor(millis(600));
    world.SetLateOrders(0);
    world.RunFor(millis(3500));
    CHECK(world.check().starts() == 1);
    CHECK(shown());
  }
  SUBCASE("its lease is over before it calls again: the job is shown without its word") {
    world.RunFor(millis(9000));
    world.SetLateOrders(0);
    CHECK(world.check().starts() == 1);
    CHECK(shown());
  }
  world.CutAgent(second, false);
  world.RunFor(millis(15000));
  CHECK(shown());
  RequireKept(world);
}

}  // namespace
}  // namespace eelgrass
