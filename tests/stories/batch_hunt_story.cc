#include <doctest/doctest.h>

#include "tests/world/batch_world.h"
#include "tests/world/hunt_days.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

/** Longest time from a worker's start until its first heartbeat; a heartbeat comes every 1.5 s. */
constexpr millis kPromptAnnouncement{120};
constexpr millis kLostAnnouncement{1500};

/** One random day: jobs all along, and faults that overlap. */
void PlayDay(uint64_t seed, worker_ids ids, millis longest_announcement = kPromptAnnouncement) {
  CAPTURE(seed);
  batch_world_options options;
  options.seed = seed;
  options.entries = 2 + static_cast<int>(seed % 3);
  options.workers = 4 + static_cast<int>(seed % 5);
  batch_world world(options);
  world.SetLongestAnnouncement(longest_announcement);
  std::mt19937_64 random(seed);
  const auto pick = [&](int below) {
    return static_cast<int>(random() % static_cast<uint64_t>(below));
  };
  world.RunFor(millis(4000));
  std::vector<std::string> jobs;
  for (int step = 0; step < 60; ++step) {
    if (pick(2) == 0) {
      const std::string id = std::to_string(1000 + step);
      const bool gang = pick(2) == 0;
      const char* queue = pick(3) == 0 ? "urgent" : "usual";
      const int tasks = 1 + pick(4);
      const millis work(500 + 500 * pick(6));
      const int accelerators = 1 + pick(4);
      batch_job job = MakeBatchJob(id, queue, tasks, work, accelerators, gang);
      if (pick(8) == 0) {
        job.spec =
            BehaviorText({{job.steps[0].estimate.count(), gang ? job.steps[0].count : 0, 1}});
      }
      jobs.push_back(job.id);
      world.Submit(job);
      world.Watch(job.id);
    }
    switch (pick(18)) {
      case 0: {
        const int entry = pick(world.entries());
        const millis down(500 + pick(3000));
        world.KillEntry(entry, down);
      } break;
      case 1:
        if (world.Planner() >= 0) world.KillEntry(world.Planner(), millis(500 + pick(3000)));
        break;
      case 2: {
        const int entry = pick(world.entries());
        const millis time(500 + pick(5000));
        world.FreezeEntry(entry, time);
      } break;
      case 3: {
        const int worker = pick(world.workers());
        const millis down(500 + pick(3000));
        world.KillAgent(worker, down);
      } break;
      case 4: {
        const int worker = pick(world.workers());
        world.CutAgent(worker, true);
        world.events().After(millis(2000 + pick(7000)),
                             [&, worker] { world.CutAgent(worker, false); });
        break;
      }
      case 5: {
        const int worker = pick(world.workers());
        const millis down(500 + pick(3000));
        world.CrashWorker(worker, down);
      } break;
      case 6:
      case 7: {
        const auto fault = static_cast<store_fault>(1 + pick(4));
        world.SetStore(fault);
        world.events().After(millis(500 + pick(4000)), [&] { world.SetStore(store_fault::kNone); });
        break;
      }
      case 8: {
        const int entry = pick(world.entries());
        world.CutEntry(entry, true);
        world.events().After(millis(1000 + pick(6000)),
                             [&, entry] { world.CutEntry(entry, false); });
        break;
      }
      case 9:
        world.SetLateOrders(0.3);
        world.events().After(millis(500 + pick(4000)), [&] { world.SetLateOrders(0); });
        break;
      case 10:
        if (!jobs.empty()) {
          world.Cancel(jobs[static_cast<size_t>(pick(static_cast<int>(jobs.size())))]);
        }
        break;
      case 11:
        world.ForgetHistory();
        break;
      case 12: {
        const int worker = pick(world.workers());
        world.SetMute(worker, true);
        world.events().After(millis(1000 + pick(9000)),
                             [&, worker] { world.SetMute(worker, false); });
        break;
      }
      case 13: {
        const int worker = pick(world.workers());
        const millis notice(500 + pick(4000));
        const millis away(1000 + pick(5000));
        world.TakeAway(worker, notice, away);
      } break;
      case 14: {
        const int planner = world.Planner();
        const int domain = planner >= 0 && pick(2) == 0 ? planner % 3 : pick(3);
        world.CutDomain(domain, true);
        world.events().After(millis(1000 + pick(6000)),
                             [&, domain] { world.CutDomain(domain, false); });
        break;
      }
      case 15:
        world.LateBeat(pick(world.workers()));
        break;
      case 16:
        world.LateLeave(pick(world.workers()));
        break;
      case 17:
        if (ids == worker_ids::kKept) {
          const int worker = pick(world.workers());
          const millis down(200 + pick(3000));
          const millis clock_step(pick(40000) - 20000);
          world.RestartWorker(worker, down, clock_step);
        }
        break;
      default:
        break;
    }
    world.RunFor(millis(200 + pick(800)));
  }
  world.SetStore(store_fault::kNone);
  world.SetLateOrders(0);
  world.RunFor(millis(70000));
  RequireKept(world);
}

constexpr uint64_t kDays = 40;

/** Plays these many days, or those that the environment names. */
void PlayUsualDays(worker_ids ids, millis longest_announcement = kPromptAnnouncement) {
  PlayDays(kDays, [&](uint64_t seed) { PlayDay(seed, ids, longest_announcement); });
}

TEST_CASE("random days keep the promises about batch jobs") { PlayUsualDays(worker_ids::kNew); }

TEST_CASE("days that broke a promise once keep it") {
  SUBCASE("a replaced planner started what its successor had heard to be done") {
    PlayDay(60235, worker_ids::kNew);
  }
  SUBCASE("a worker that answers no more ends its runs with their lease") {
    PlayDay(201275, worker_ids::kNew);
  }
}

TEST_CASE("days on which workers start again under their ids keep the promises") {
  PlayUsualDays(worker_ids::kKept);
}

TEST_CASE("days on which a first heartbeat is lost keep the promises") {
  SUBCASE("with new ids") { PlayUsualDays(worker_ids::kNew, kLostAnnouncement); }
  SUBCASE("with ids that are used again") { PlayUsualDays(worker_ids::kKept, kLostAnnouncement); }
}

}  // namespace
}  // namespace eelgrass
