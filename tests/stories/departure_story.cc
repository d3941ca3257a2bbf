#include <doctest/doctest.h>

#include "kernel/batch/departure_detector.h"
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
  SUBCASE("the list says so, but not on which VM the worker lived: a second list does") {
    story.world.SetVmNamed(false);
    story.world.CrashWorker(0, millis(800));
    CHECK(story.Took() < millis(4000 + 3000));
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

/** Work that each worker takes a part of, so that whatever is given up finds room elsewhere. */
struct scattered_work {
  batch_world world;
  batch_job job = MakeBatchJob("d1", "usual", 30, millis(9000), 1);

  void Begin() {
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(1500));
  }
  void End() {
    world.RunFor(millis(40000));
    RequireKept(world);
    CHECK(world.check().completed(job.id).has_value());
  }
};

TEST_CASE("a worker is cut off for less than its lease, and a list leaves its VM out") {
  scattered_work story;
  SUBCASE("workers do not say where they live") { story.world.SetVmNamed(false); }
  SUBCASE("workers say where they live") {}
  story.world.RunFor(millis(5000));
  story.Begin();
  REQUIRE(story.world.worker(1).running() > 0);
  const size_t runs = story.world.worker(1).running();

  SUBCASE("once, in the first list that is asked for") { story.world.HideVm(1, 1); }
  SUBCASE("in all lists, of which some entries cannot be read") {
    story.world.HideVm(1, 100);
    story.world.SetUnreadable(true);
  }
  story.world.CutAgent(1, true);
  story.world.RunFor(millis(2500));
  CHECK(story.world.vm_lists() > 0);
  CHECK(story.world.worker(1).running() == runs);
  story.world.CutAgent(1, false);
  story.End();
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
  departure_detector watch;
  std::vector<silent_worker> silent;
  for (const char* id : {"w1", "w2", "w3", "w4", "w5"}) silent.push_back({{id, 7}, "", millis(10)});
  const auto ask = [&](millis now) {
    const auto request = watch.Next(silent, now);
    REQUIRE(request.has_value());
    vm_listing listing;
    listing.requested = request->at;
    listing.answered = true;
    return listing;
  };
  const auto ids = [](const std::vector<worker_identity>& gone) {
    std::vector<std::string> named;
    for (const auto& worker : gone) named.push_back(worker.id);
    return named;
  };
  using names = std::vector<std::string>;

  SUBCASE("is not asked for while nobody is silent") {
    CHECK_FALSE(watch.Next({}, millis(1000)).has_value());
  }
  SUBCASE("proves by one reading") {
    silent[3].vm = "vm-4";
    silent[4].vm = "vm-5";
    vm_listing listing = ask(millis(1000));
    CHECK_FALSE(watch.Next(silent, millis(1400)).has_value());
    listing.vms.push_back({"vm-1", vm_state::kUp, "w1"});
    listing.vms.push_back({"vm-2", vm_state::kDown, "w2"});
    listing.vms.push_back({"vm-3", vm_state::kUnknown, "w3"});
    SUBCASE("that a worker is gone whose VM is not up, or carries another one") {
      listing.vms.push_back({"vm-4", vm_state::kUp, "w9"});
      listing.vms.push_back({"vm-5", vm_state::kMoving, ""});
      CHECK(ids(watch.On(listing)) == names{"w2", "w4", "w5"});
      CHECK(watch.Next(silent, millis(1600)).has_value());
    }
    SUBCASE("nothing of a worker whose VM has a record that cannot be read") {
      listing.vms.push_back({"vm-4", vm_state::kUnknown, "w9"});
      listing.vms.push_back({"vm-5", vm_state::kUp, ""});
      CHECK(ids(watch.On(listing)) == names{"w2"});
    }
    SUBCASE("nothing of a worker that any record shows alive") {
      listing.vms.push_back({"vm-4", vm_state::kDown, ""});
      listing.vms.push_back({"vm-6", vm_state::kUp, "w4"});
      CHECK(ids(watch.On(listing)) == names{"w2"});
    }
    SUBCASE("nothing of a worker whose earlier VM is down") {
      listing.vms.push_back({"vm-6", vm_state::kDown, "w4"});
      CHECK(ids(watch.On(listing)) == names{"w2"});
    }
    SUBCASE("nothing of a worker that was heard meanwhile") {
      watch.OnWorkerReported("w2");
      CHECK(watch.On(listing).empty());
    }
  }
  SUBCASE("remembers where a worker lived") {
    silent.resize(1);
    vm_listing first = ask(millis(1000));
    first.vms.push_back({"vm-1", vm_state::kUp, "w1"});
    CHECK(watch.On(first).empty());
    SUBCASE("and one reading proves it gone") {
      vm_listing second = ask(millis(1500));
      second.vms.push_back({"vm-1", vm_state::kDown, ""});
      CHECK(ids(watch.On(second)) == names{"w1"});
    }
    SUBCASE("but not for its next life") {
      silent[0] = {{"w1", 8}, "", millis(1200)};
      vm_listing second = ask(millis(1500));
      second.vms.push_back({"vm-1", vm_state::kDown, ""});
      CHECK(watch.On(second).empty());
    }
  }
  SUBCASE("that leaves a worker out") {
    silent.resize(1);
    CHECK(watch.On(ask(millis(1000))).empty());
    SUBCASE("proves it gone when the next one does, too") {
      CHECK(ids(watch.On(ask(millis(1500)))) == names{"w1"});
    }
    SUBCASE("proves nothing once it was heard in between") {
      watch.OnWorkerReported("w1");
      CHECK(watch.On(ask(millis(1500))).empty());
    }
    SUBCASE("proves nothing once it was not silent in between") {
      CHECK_FALSE(watch.Next({}, millis(1200)).has_value());
      CHECK(watch.On(ask(millis(1500))).empty());
    }
    SUBCASE("proves nothing of another life") {
      silent[0].self.born_ms = 8;
      CHECK(watch.On(ask(millis(1500))).empty());
    }
    SUBCASE("proves nothing while entries cannot be read, nor with the one before them") {
      vm_listing second = ask(millis(1500));
      second.unreadable = 1;
      CHECK(watch.On(second).empty());
      CHECK(watch.On(ask(millis(2000))).empty());
      CHECK(ids(watch.On(ask(millis(2500)))) == names{"w1"});
    }
    SUBCASE("proves nothing across a reading that had no answer") {
      CHECK(watch.On({ask(millis(1500)).requested, false, {}, 0}).empty());
      CHECK(watch.On(ask(millis(2000))).empty());
    }
  }
  SUBCASE("proves nothing when it could not be read") {
    CHECK(watch.On({ask(millis(1000)).requested, false, {}, 0}).empty());
  }
  SUBCASE("is not taken for the answer to a later request") {
    watch.Next(silent, millis(1000));
    watch.Next(silent, millis(9000));
    CHECK(watch.On({millis(1000), true, {}, 0}).empty());
  }
}

}  // namespace
}  // namespace eelgrass
