#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr millis kGangWork{3000};
constexpr millis kGangGap{1300};
constexpr millis kWideGap{5000};
constexpr millis kStep{100};
constexpr int kUrgentGangs = 30;
constexpr int kSlowPercent = 600;
constexpr millis kPlanningRound{50};

/** What a caller can see sooner than its next question: the answer's way. */
constexpr millis kAnswerTime{20};

/** Place of the letter in a job's id that tells gangs from wide steps. */
constexpr size_t kKindDigit = 13;

/** One start as a worker saw it. */
struct seen_start {
  std::string task;
  std::string worker;
  millis at{0};
  bool operator==(const seen_start&) const = default;
};

/** Urgent gangs and wide steps of single tasks on 18 workers, whose speeds the story chooses. */
struct uneven_load {
  std::vector<seen_start> starts;
  std::vector<std::pair<std::string, millis>> gangs;  // with when they were handed in
  std::vector<std::string> wide;
  draws random;
  millis loaded{0};
  batch_world world;

  uneven_load(const std::map<int, int>& time_percent, bool lists_progress, uint64_t seed)
      : random(seed), world(Options(time_percent, lists_progress, seed)) {
    world.Configure([](batch_config& config) { config.queues[0].target_latency = millis(250); });
    world.RunFor(millis(5000));
  }

  batch_world_options Options(const std::map<int, int>& time_percent, bool lists_progress,
                              uint64_t seed) {
    batch_world_options options;
    options.workers = 18;
    options.time_percent = time_percent;
    options.worker.lists_progress = lists_progress;
    options.seed = seed;
    options.watcher = [this](const runner_event& event) {
      if (event.what != runner_event::kind::kStarted) return;
      starts.push_back({event.task, event.worker, event.at});
    };
    return options;
  }

  millis UrgentObjective() const { return kGangWork * 3 / 2 + millis(250); }

  void HandInGang() {
    char id[16];
    std::snprintf(id, sizeof id, "e%02zx", gangs.size());
    batch_job job = MakeBatchJob(id, "urgent", 4, kGangWork, 4, true);
    job.steps[0].same_rack = random.Chance(0.5);
    gangs.emplace_back(job.id, world.now());
    world.Submit(job);
    // Its caller asks when its objective is over, and again until it is done.
    world.events().After(UrgentObjective(), [this, id = job.id] { world.Watch(id); });
  }
  void HandInWide() {
    char id[16];
    std::snprintf(id, sizeof id, "b%02zx", wide.size());
    batch_job job = MakeBatchJob(id, "batch", 60, random.Between(millis(3000), millis(5000)), 1);
    job.organisation = "brokers";
    wide.push_back(job.id);
    world.Submit(job);
    world.Watch(job.id);
  }
  /** Hands in work for a while. */
  void Load(millis time) {
    for (const millis until = loaded + time; loaded < until; loaded += kStep) {
      if (loaded.count() % kWideGap.count() == 0) HandInWide();
      if (loaded.count() % kGangGap.count() == 0) HandInGang();
      world.RunFor(kStep);
    }
  }
  /** Number of gangs whose callers were told in time that they are done, from one gang on. */
  int InTime(size_t first) {
    return static_cast<int>(
        std::count_if(gangs.begin() + static_cast<ptrdiff_t>(first), gangs.end(), [&](auto& gang) {
          const auto completed = world.check().completed(gang.first);
          return completed && *completed - gang.second <= UrgentObjective() + kAnswerTime;
        }));
  }
  /** The longest time from handing in a gang until its first member starts. */
  millis LongestWait() {
    millis longest{0};
    for (const auto& [id, since] : gangs) {
      const auto began = world.check().began(id + ".0.0.0");
      longest = std::max(longest, began ? *began - since : millis(INT64_MAX));
    }
    return longest;
  }
  bool AllWideCompleted() {
    return std::all_of(wide.begin(), wide.end(),
                       [&](auto& id) { return world.check().completed(id).has_value(); });
  }
  /** Starts of urgent gangs on a worker in a period. */
  int GangStartsOn(int worker, millis from, millis until) {
    const std::string id = world.worker(worker).self().id;
    return static_cast<int>(
        std::count_if(starts.begin(), starts.end(), [&](const seen_start& start) {
          return start.worker == id && start.at >= from && start.at < until &&
                 start.task[kKindDigit] == 'e';
        }));
  }
};

std::map<int, int> ThreeSpeeds() {
  std::map<int, int> percent;
  for (int i = 0; i < 18; i += 3) {
    percent[i] = 60;
    percent[i + 2] = 160;
  }
  return percent;
}

// Guards against speeds that are measured and not used, or used at the expense of what waits.
TEST_CASE("urgent gangs and wide steps share workers of three speeds") {
  // The first gangs come before any speed is known.
  constexpr size_t kFirst = 8;
  constexpr int kCounted = kUrgentGangs - static_cast<int>(kFirst);
  for (const uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    uneven_load listed(ThreeSpeeds(), true, seed);
    uneven_load silent(ThreeSpeeds(), false, seed);
    for (uneven_load* load : {&listed, &silent}) {
      load->Load(kGangGap * kUrgentGangs);
      load->world.RunFor(millis(30000));
      CHECK(load->AllWideCompleted());
      RequireKept(load->world);
    }
    REQUIRE(listed.gangs.size() == kUrgentGangs);
    CHECK(listed.InTime(kFirst) * 10 >= kCounted * 9);
    CHECK(listed.InTime(kFirst) > silent.InTime(kFirst));
    CHECK(listed.LongestWait() <= silent.LongestWait() + kPlanningRound);
    CHECK(listed.LongestWait() < millis(500));
  }
}

// Guards against errors of measurement that are taken for differences between workers.
TEST_CASE("on equal workers, what they list as done changes no plan") {
  for (const uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    uneven_load listed({}, true, seed);
    uneven_load silent({}, false, seed);
    for (uneven_load* load : {&listed, &silent}) {
      load->Load(kGangGap * kUrgentGangs);
      load->world.RunFor(millis(20000));
      RequireKept(load->world);
    }
    REQUIRE(listed.starts.size() >= 600);
    CHECK(listed.starts == silent.starts);
  }
}

/** A worker that turns slow while a gang works on it, with the gang starts on it since then. */
struct slow_worker {
  int meanwhile = 0;  // once the change can be known
  int afterwards = 0;

  explicit slow_worker(int worker) {
    constexpr millis kNoticed{3500};  // the window over which runs are measured, and a report
    constexpr millis kSlow{12000};
    uneven_load load({}, true, 1);
    load.Load(millis(15000));
    // Well before the gang has done its work, so that it shows the change.
    millis began = load.world.now();
    while (load.GangStartsOn(worker, began - millis(500), began - millis(400)) == 0) {
      REQUIRE(began < millis(60000));
      load.Load(kStep);
      began = load.world.now();
    }
    load.world.SetTimePercent(worker, kSlowPercent);
    load.Load(kSlow);
    const millis recovered = load.world.now();
    load.world.SetTimePercent(worker, 100);
    load.Load(millis(30000));
    load.world.RunFor(millis(30000));
    meanwhile = load.GangStartsOn(worker, began + kNoticed, recovered);
    afterwards = load.GangStartsOn(worker, recovered, load.world.now());
    CHECK(load.AllWideCompleted());
    RequireKept(load.world);
  }
};

// Guards against a worker that stays known as fast while it is slow, or as slow for good.
TEST_CASE("a worker turns slow for some seconds and recovers") {
  for (const int worker : {3, 4, 5, 6, 7}) {
    CAPTURE(worker);
    const slow_worker played(worker);
    CHECK(played.meanwhile == 0);
    CHECK(played.afterwards > 0);
  }
}

// Guards against a worker that gets nothing any more that could show its recovery.
TEST_CASE("a worker that recovers when its slow run is almost done gets urgent gangs again") {
  for (const int worker : {0, 1, 15, 16}) {
    CAPTURE(worker);
    const slow_worker played(worker);
    CHECK(played.meanwhile == 0);
    // Without listed progress, each of these workers gets some.
    CHECK(played.afterwards > 0);
  }
}

// Guards against rules that break, and speeds that are lost for long, with the planner that knew
// them.
TEST_CASE("the planner is replaced under load on workers of three speeds") {
  uneven_load load(ThreeSpeeds(), true, 4);
  load.Load(millis(15000));
  const int former = load.world.Planner();
  REQUIRE(former >= 0);
  load.world.SetTimePercent(4, kSlowPercent);
  SUBCASE("because its entry dies") { load.world.KillEntry(former, millis(8000)); }
  SUBCASE("because its entry stops for a while") { load.world.FreezeEntry(former, millis(9000)); }
  SUBCASE("because it is cut off from the store and the others") {
    load.world.CutEntry(former, true);
    load.world.events().After(millis(9000), [&] { load.world.CutEntry(former, false); });
  }
  load.Load(millis(8000));
  CHECK(load.world.Holder() != former);
  load.world.SetTimePercent(4, 100);
  const size_t first = load.gangs.size() + 6;  // the new planner has measured by then
  load.Load(millis(24000));
  load.world.RunFor(millis(30000));
  const int counted = static_cast<int>(load.gangs.size() - first);
  CHECK(load.InTime(first) * 10 >= counted * 8);
  CHECK(load.AllWideCompleted());
  RequireKept(load.world);
}

}  // namespace
}  // namespace eelgrass
