#include <doctest/doctest.h>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** Long work without checkpoints on every accelerator, and urgent gangs that come to it. */
struct full_cluster {
  batch_world world;

  void Fill(std::string_view queue, int tasks, millis work) {
    world.RunFor(millis(5000));
    batch_job filler = MakeBatchJob("f1", queue, tasks, work, 1);
    filler.organisation = "brokers";
    filler.steps[0].checkpoints = false;
    world.Submit(filler);
    world.Watch(filler.id);
    world.RunFor(millis(1000));
    REQUIRE(world.check().starts() == std::min(tasks, 48));
  }
  /** Time from handing a job in until its caller sees it completed. */
  millis Serve(const batch_job& job, millis patience) {
    const millis began = world.now();
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(patience);
    REQUIRE(world.check().accepted(job.id));
    const auto completed = world.check().completed(job.id);
    return completed ? *completed - began : millis(INT64_MAX);
  }
  void Finish() {
    world.RunFor(millis(60000));
    RequireKept(world);
  }
};

TEST_CASE("urgent gangs come to a full cluster") {
  full_cluster story;

  SUBCASE("beyond the guarantee they stop what is less urgent and are in time") {
    story.Fill("batch", 48, millis(12000));
    // 24 accelerators, of which the organisation is guaranteed 16.
    const batch_job job = MakeBatchJob("e1", "urgent", 3, millis(3000), 8, true);
    CHECK(story.Serve(job, millis(10000)) < millis(3000 * 3 / 2 + 1000));
    story.Finish();
  }
  SUBCASE("they do not stop what would lose more work than they have themselves") {
    story.Fill("batch", 48, millis(60000));
    story.world.RunFor(millis(20000));
    const int stopped = story.world.check().ends(run_end::kStopped);
    const batch_job job = MakeBatchJob("e1", "urgent", 3, millis(1000), 8, true);
    story.Serve(job, millis(3000));
    CHECK(story.world.check().ends(run_end::kStopped) == stopped);
  }
  SUBCASE("nor after another entry has taken over, which has not seen that work begin") {
    story.Fill("batch", 48, millis(60000));
    story.world.RunFor(millis(20000));
    const int planner = story.world.Planner();
    REQUIRE(planner >= 0);
    story.world.KillEntry(planner, millis(2000));
    story.world.RunFor(millis(5000));
    REQUIRE(story.world.Planner() >= 0);
    const int stopped = story.world.check().ends(run_end::kStopped);
    const batch_job job = MakeBatchJob("e1", "urgent", 3, millis(8000), 8, true);
    story.Serve(job, millis(3000));
    CHECK(story.world.check().ends(run_end::kStopped) == stopped);
    story.Finish();
  }
  SUBCASE("they do not stop each other") {
    story.Fill("urgent", 48, millis(12000));
    const batch_job job = MakeBatchJob("e1", "urgent", 3, millis(3000), 8, true);
    story.Serve(job, millis(3000));
    CHECK(story.world.check().ends(run_end::kStopped) == 0);
  }
  SUBCASE("a job of a later priority waits") {
    story.Fill("batch", 48, millis(12000));
    const batch_job job = MakeBatchJob("e1", "usual", 3, millis(3000), 8, true);
    story.Serve(job, millis(3000));
    CHECK(story.world.check().ends(run_end::kStopped) == 0);
  }
}

TEST_CASE("a gang that wants one rack") {
  batch_world world;
  world.RunFor(millis(5000));
  SUBCASE("starts at once over several racks when no rack could ever hold it") {
    batch_job job = MakeBatchJob("e2", "urgent", 6, millis(2000), 8, true);
    job.steps[0].same_rack = true;
    world.Submit(job);
    world.RunFor(millis(1500));
    CHECK(world.check().began(job.id + ".0.0.5").has_value());
  }
}

}  // namespace
}  // namespace eelgrass
