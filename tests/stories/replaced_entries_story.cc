#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** Whether a job that is handed in now begins on a worker within a time. */
bool Begins(batch_world& world, std::string_view id, millis within) {
  const batch_job job = MakeBatchJob(id, "urgent", 2, millis(500), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(within);
  return world.check().began(job.id + ".0.0.0").has_value();
}

// Agents knew only the entries of their last notice and the seeds of their start.
TEST_CASE("agents find the entries that replace all those they know") {
  batch_world_options options;
  options.discover = true;
  batch_world world(options);
  world.RunFor(millis(5000));
  REQUIRE(world.Planner() >= 0);
  REQUIRE(Begins(world, "a0", millis(1000)));

  SUBCASE("at once") {
    for (int entry = 0; entry < 3; ++entry) world.ReplaceEntry(entry, millis(2000));
    world.RunFor(millis(9000));
    CHECK(Begins(world, "a1", millis(4000)));
  }
  SUBCASE("one after the other while the agents are cut off") {
    for (int worker = 0; worker < world.workers(); ++worker) world.CutAgent(worker, true);
    for (int entry = 0; entry < 3; ++entry) {
      world.ReplaceEntry(entry, millis(1000));
      world.RunFor(millis(3500));
    }
    for (int worker = 0; worker < world.workers(); ++worker) world.CutAgent(worker, false);
    world.RunFor(millis(20000));
    CHECK(Begins(world, "a1", millis(4000)));
  }
  SUBCASE("one after the other while the agents stand still") {
    for (int worker = 0; worker < world.workers(); ++worker) {
      world.FreezeAgent(worker, millis(12000));
    }
    for (int entry = 0; entry < 3; ++entry) {
      world.ReplaceEntry(entry, millis(1000));
      world.RunFor(millis(3500));
    }
    world.RunFor(millis(15000));
    CHECK(Begins(world, "a1", millis(4000)));
  }
  world.RunFor(millis(30000));
  RequireKept(world);
}

/** Removes all entries of a new world; the ones that replace them have the indices 3 to 5. */
void ReplaceAll(batch_world& world) {
  for (int entry = 0; entry < 3; ++entry) world.ReplaceEntry(entry, millis(2000));
}

bool AllFound(const batch_world& world) {
  for (int worker = 0; worker < world.workers(); ++worker) {
    if (!world.AgentStats(worker).planner_connected) return false;
  }
  return true;
}

TEST_CASE("agents find other entries whatever one of their sources says") {
  batch_world_options options;
  options.discover = true;
  batch_world world(options);
  world.RunFor(millis(5000));
  REQUIRE(AllFound(world));
  const std::vector<int> next_seeds = {4, 5};

  SUBCASE("the store does not answer them, and the settings change without a signal") {
    world.SetStoreForAgents(store_fault::kSilent);
    ReplaceAll(world);
    world.RunFor(millis(6000));
    CHECK_FALSE(AllFound(world));
    world.SetSeeds(next_seeds);
    world.RunFor(millis(4000));
    CHECK(AllFound(world));
  }
  SUBCASE("the store refuses them, and the settings change later") {
    world.SetStoreForAgents(store_fault::kRefuses);
    ReplaceAll(world);
    world.RunFor(millis(30000));
    CHECK_FALSE(AllFound(world));
    CHECK(world.AgentStats(0).failed_readings > 2);
    CHECK(world.AgentStats(0).planner_missing > millis(25000));
    world.SetSeeds(next_seeds);
    world.RunFor(millis(4000));
    CHECK(AllFound(world));
  }
  SUBCASE("the settings cannot be read, and the store answers late") {
    world.SetSettingsReadable(false);
    world.SetStoreForAgents(store_fault::kSilent);
    ReplaceAll(world);
    world.RunFor(millis(20000));
    CHECK_FALSE(AllFound(world));
    world.SetStoreForAgents(store_fault::kNone);
    world.RunFor(millis(10000));
    CHECK(AllFound(world));
  }
  SUBCASE("an agent starts anew with seeds of entries that are gone") {
    ReplaceAll(world);
    world.RunFor(millis(10000));
    world.KillAgent(2, millis(500));
    world.RunFor(millis(6000));
    CHECK(AllFound(world));
  }
  SUBCASE("few agents were away, and the others go on") {
    world.CutAgent(0, true);
    world.CutAgent(3, true, cut_kind::kRefused);
    for (int entry = 0; entry < 3; ++entry) {
      world.ReplaceEntry(entry, millis(1000));
      world.RunFor(millis(3500));
    }
    CHECK_FALSE(world.AgentStats(0).planner_connected);
    CHECK(world.AgentStats(1).planner_connected);
    world.CutAgent(0, false);
    world.CutAgent(3, false);
    world.RunFor(millis(10000));
    CHECK(AllFound(world));
  }
  CHECK(AllFound(world));
  CHECK(Begins(world, "b1", millis(4000)));
  world.RunFor(millis(30000));
  RequireKept(world);
}

/** Rows of entries that are gone; their ids come before those of the world's entries. */
void RegisterGone(batch_world& world, int count) {
  for (int i = 0; i < count; ++i) {
    const std::string id = "edge-" + std::to_string(1000 + i);
    row_transaction change;
    change.writes.push_back({{std::string(kEntriesTable), "", id}, PeerAddress(id)});
    world.rows().Apply(change);
  }
}

// An entry read the first 500 rows, once: behind them it never found another one.
TEST_CASE("entries find each other among many rows of entries that are gone") {
  batch_world_options options;
  options.discover = true;
  batch_world world(options);
  RegisterGone(world, 600);
  world.RunFor(millis(30000));
  CHECK(world.Linked(1, 2));

  SUBCASE("also when the seed that all of them know is replaced") {
    const int next = world.ReplaceEntry(0, millis(2000));
    world.RunFor(millis(30000));
    CHECK(world.Linked(1, 2));
    CHECK(world.Linked(1, next));
    CHECK(world.Linked(2, next));
    CHECK(Begins(world, "d1", millis(4000)));
  }
  SUBCASE("also when two start at once") {
    const int one = world.ReplaceEntry(1, millis(2000));
    const int other = world.ReplaceEntry(2, millis(2000));
    world.RunFor(millis(30000));
    CHECK(world.Linked(one, other));
    CHECK(Begins(world, "d1", millis(4000)));
  }
  world.RunFor(millis(30000));
  RequireKept(world);
}

}  // namespace
}  // namespace eelgrass
