#include <doctest/doctest.h>

#include <functional>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr int kWorker = 1;
constexpr int kTasks = 30;       // as many as the workers run at once
constexpr uint64_t kSeeds = 12;  // each draws when the starts are carried out

/** Starts a job on all workers whose starts get no answer and are carried out 2 to 12 s later. */
void StartUnanswered(batch_world& world, millis work) {
  world.RunFor(millis(5000));
  world.SetLateOrders(1);
  const batch_job job = MakeBatchJob("e1", "usual", kTasks, work, 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(300));
  world.SetLateOrders(0);
}

TEST_CASE("a start that was repeated and is done is not carried out by the next incarnation") {
  std::function<void(batch_world&)> part;
  SUBCASE("though its agent is cut off from the planner") {
    part = [](batch_world& world) {
      world.CutAgent(kWorker, true);
      world.events().After(millis(12000), [&world] { world.CutAgent(kWorker, false); });
    };
  }
  SUBCASE("though there is no planner") {
    part = [](batch_world& world) {
      for (int entry = 0; entry < world.entries(); ++entry) world.KillEntry(entry, millis(5000));
    };
  }
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    batch_world_options options;
    options.seed = seed;
    batch_world world(options);
    StartUnanswered(world, millis(300));
    world.RunFor(millis(1700));
    REQUIRE(world.check().ends(run_end::kDone) == kTasks);
    part(world);
    world.RestartWorker(kWorker, millis(300), millis(0));
    world.RunFor(millis(60000));
    RequireKept(world);
  }
}

}  // namespace
}  // namespace eelgrass
