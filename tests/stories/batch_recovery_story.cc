#include <doctest/doctest.h>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** Hands in a mixed load and watches every job. */
void HandIn(batch_world& world, int jobs, std::string_view prefix) {
  for (int i = 0; i < jobs; ++i) {
    const std::string id = std::string(prefix) + std::to_string(10 + i);
    const bool gang = i % 2 == 0;
    const batch_job job = MakeBatchJob(id, i % 3 == 0 ? "urgent" : "usual", 1 + i % 4,
                                       millis(1500 + 300 * (i % 5)), 1 + i % 3, gang);
    world.Submit(job);
    world.Watch(job.id);
  }
}

TEST_CASE("the planner goes away while jobs run") {
  batch_world world;
  world.RunFor(millis(5000));
  const int planner = world.Planner();
  REQUIRE(planner >= 0);
  HandIn(world, 10, "c");
  world.RunFor(millis(1000));
  const int starts = world.check().starts();
  REQUIRE(starts > 0);

  SUBCASE("killed: another entry takes over, and what runs goes on") {
    world.KillEntry(planner, millis(6000));
    world.RunFor(millis(4000));
    CHECK(world.Planner() >= 0);
    CHECK(world.Planner() != planner);
    CHECK(world.check().ends(run_end::kLapsed) == 0);
  }
  SUBCASE("suspended: when it wakes up its orders and writes do nothing") {
    world.FreezeEntry(planner, millis(6000));
    world.RunFor(millis(5000));
    CHECK(world.Planner() >= 0);
    HandIn(world, 6, "d");
    world.RunFor(millis(4000));
  }
  SUBCASE("cut off from everything: its workers hear of the new fence first") {
    world.CutEntry(planner, true);
    world.RunFor(millis(6000));
    HandIn(world, 6, "d");
    world.RunFor(millis(3000));
    world.CutEntry(planner, false);
  }
  SUBCASE("turned away by the store: one that is served takes over") {
    world.SetStoreFor(planner, store_fault::kRefuses);
    world.RunFor(millis(6000));
    CHECK(world.Planner() != planner);
    CHECK_FALSE(world.Ready(planner));  // it refuses keyed calls: new ones go elsewhere
    CHECK(world.Ready(world.Planner()));
    HandIn(world, 6, "d");
    world.RunFor(millis(2000));
    world.SetStoreFor(planner, store_fault::kNone);
    world.RunFor(millis(5000));
    CHECK(world.Ready(planner));
  }
  SUBCASE("again and again") {
    for (int i = 0; i < 4; ++i) {
      if (world.Planner() >= 0) world.KillEntry(world.Planner(), millis(1000));
      world.RunFor(millis(3500));
    }
  }
  world.RunFor(millis(30000));
  RequireKept(world);
}

TEST_CASE("the store misbehaves while jobs come and run") {
  batch_world world;
  world.RunFor(millis(5000));
  HandIn(world, 8, "e");
  world.RunFor(millis(300));

  SUBCASE("it refuses everything for a while: nothing that runs is lost") {
    world.SetStore(store_fault::kRefuses);
    world.RunFor(millis(4000));
    HandIn(world, 4, "f");
    world.SetStore(store_fault::kNone);
    CHECK(world.check().ends(run_end::kLapsed) == 0);
    SUBCASE("and once it is back entries serve again at once") {
      // One pause between two tries and a call.
      world.RunFor(millis(300));
      for (int entry = 0; entry < world.entries(); ++entry) CHECK(world.Ready(entry));
    }
  }
  SUBCASE("it is silent") {
    world.SetStore(store_fault::kSilent);
    HandIn(world, 4, "f");
    world.RunFor(millis(5000));
    world.SetStore(store_fault::kNone);
    SUBCASE("and once it is back entries serve again after one call's time") {
      world.RunFor(kStoreTimeout + millis(300));
      for (int entry = 0; entry < world.entries(); ++entry) CHECK(world.Ready(entry));
    }
  }
  SUBCASE("it loses answers to writes that were done") {
    world.SetStore(store_fault::kLosesAnswers);
    HandIn(world, 8, "f");
    world.RunFor(millis(8000));
    world.SetStore(store_fault::kNone);
  }
  SUBCASE("it does writes seconds after their callers have given up") {
    world.SetStore(store_fault::kLateWrites);
    HandIn(world, 8, "f");
    world.RunFor(millis(8000));
    world.SetStore(store_fault::kNone);
  }
  SUBCASE("it forgets its history") {
    for (int i = 0; i < 10; ++i) {
      world.ForgetHistory();
      HandIn(world, 1, "f" + std::to_string(i));
      world.RunFor(millis(300));
    }
  }
  world.RunFor(millis(40000));
  RequireKept(world);
}

TEST_CASE("workers and their agents misbehave") {
  batch_world world;
  world.RunFor(millis(5000));

  SUBCASE("an agent is killed and comes back: its worker's tasks go on") {
    HandIn(world, 8, "a");
    world.RunFor(millis(800));
    for (int i = 0; i < 3; ++i) world.KillAgent(i, millis(1000));
    world.RunFor(millis(2500));
    CHECK(world.check().ends(run_end::kLapsed) == 0);
  }
  SUBCASE("a worker is cut off and runs on: its tasks start elsewhere once its lease is over") {
    HandIn(world, 8, "a");
    world.RunFor(millis(800));
    for (int i = 0; i < 3; ++i) world.CutAgent(i, true);
    world.RunFor(millis(9000));
    for (int i = 0; i < 3; ++i) world.CutAgent(i, false);
  }
  SUBCASE("a worker crashes and a new one comes to its address") {
    HandIn(world, 8, "a");
    world.RunFor(millis(800));
    for (int i = 0; i < 3; ++i) world.CrashWorker(i, millis(1500));
  }
  SUBCASE("orders get no answer and are carried out seconds later") {
    world.SetLateOrders(0.4);
    HandIn(world, 12, "a");
    world.RunFor(millis(10000));
    HandIn(world, 6, "b");
    world.RunFor(millis(8000));
    world.SetLateOrders(0);
  }
  SUBCASE("a worker that fails everything is left alone, and no job suffers for it") {
    world.SetSick(0, true);
    HandIn(world, 20, "a");
  }
  SUBCASE("a worker that leaves gets nothing new") {
    world.DrainWorker(0);
    world.RunFor(millis(200));
    HandIn(world, 12, "a");
    world.RunFor(millis(2000));
    CHECK(world.worker(0).running() == 0);
  }
  world.RunFor(millis(40000));
  RequireKept(world);
}

TEST_CASE("everything loses power at once") {
  batch_world world;
  world.RunFor(millis(5000));
  HandIn(world, 10, "a");
  world.RunFor(millis(1500));
  world.PowerOffAll(millis(1000));
  const millis back = world.now() + millis(1000);
  SUBCASE("and is back within seconds, from the store and the workers' lists alone") {
    world.RunFor(millis(4000));
    CHECK(world.Planner() >= 0);
    HandIn(world, 3, "b");
    world.RunFor(millis(3000));
    const auto began = world.check().began("0000000000000b10.0.0.0");
    REQUIRE(began.has_value());
    CHECK(*began - back < millis(12000));
  }
  SUBCASE("and once more while it recovers") {
    world.RunFor(millis(1300));
    world.PowerOffAll(millis(1000));
  }
  world.RunFor(millis(30000));
  RequireKept(world);
}

TEST_CASE("operators' changes") {
  batch_world world;
  world.RunFor(millis(5000));

  SUBCASE("nothing starts in a domain that is evacuated") {
    world.Evacuate("domain-0", true);
    world.RunFor(millis(500));
    HandIn(world, 12, "a");
    world.RunFor(millis(1500));
    CHECK(world.worker(0).running() == 0);
    CHECK(world.worker(3).running() == 0);
    world.Evacuate("domain-0", false);
  }
  SUBCASE("a key that was withdrawn is refused at once, even by an entry that has not heard") {
    batch_job job = MakeBatchJob("aa", "usual", 1, millis(500), 1);
    job.organisation = "brokers";
    for (int i = 0; i < world.entries(); ++i) world.SetStoreFor(i, store_fault::kNone);
    world.Configure([](batch_config& config) { config.organisations[1].keys.clear(); });
    world.Submit(job);
    world.RunFor(millis(1000));
    CHECK_FALSE(world.check().accepted(job.id));
    CHECK(world.check().starts() == 0);
  }
  world.RunFor(millis(20000));
  RequireKept(world);
}

TEST_CASE("a worker carries out calls and answers none") {
  batch_world world;
  world.RunFor(millis(5000));
  const batch_job job = MakeBatchJob("f9", "usual", 5, millis(20000), 8);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(2000));
  REQUIRE(world.check().starts() == 5);
  int mute = 0;
  while (world.worker(mute).running() == 0) ++mute;
  world.SetMute(mute, true);

  SUBCASE("for longer than a lease: its lease lapses before its task starts elsewhere") {
    world.RunFor(millis(9000));
    CHECK(world.check().ends(run_end::kLapsed) == 1);
    world.SetMute(mute, false);
    world.RunFor(millis(40000));
    CHECK(world.check().completed(job.id).has_value());
    RequireKept(world);
  }
  SUBCASE("and the planner changes meanwhile") {
    world.RunFor(millis(2500));
    world.KillEntry(world.Planner(), millis(3000));
    world.RunFor(millis(9000));
    world.SetMute(mute, false);
    world.RunFor(millis(40000));
    CHECK(world.check().completed(job.id).has_value());
    RequireKept(world);
  }
  SUBCASE("for a moment: its task goes on") {
    world.RunFor(millis(1200));
    world.SetMute(mute, false);
    world.RunFor(millis(25000));
    CHECK(world.check().starts() == 5);
    CHECK(world.check().completed(job.id).has_value());
    RequireKept(world);
  }
}

}  // namespace
}  // namespace eelgrass
