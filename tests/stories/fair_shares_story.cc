#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "tests/world/batch_world.h"
#include "tests/world/plan_rig.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr int kBurst = 0;  // the organisation that hands in a burst
constexpr int kOther = 1;
constexpr millis kWork{4000};
constexpr millis kLong{1000000};

/** A cluster of eight workers, seven of which run tasks of one organisation. */
struct busy_rig : plan_rig {
  std::string running;

  explicit busy_rig(std::string_view order, double stretch = 3) : plan_rig(order, 8, 2, stretch) {
    running = Add(kBurst, "1", kLong, 7);
    for (const auto& start : Plan().starts) Start(start);
  }
  /** The organisation of the unit that is placed first. */
  std::string Next() {
    const start_plan plan = Plan();
    REQUIRE_FALSE(plan.starts.empty());
    return jobs.Find(plan.starts[0].unit.job)->job.organisation;
  }
  /** Lets time pass, so that the present use becomes the average. */
  void Settle() {
    usage.Update(View(true));
    now += millis(200000);
    usage.Update(View(true));
  }
};

/** Longest waits of an organisation beside another one's burst: of all its jobs, and later ones. */
struct burst_waits {
  millis longest{0};
  millis later{0};

  explicit burst_waits(std::string_view order) {
    constexpr millis kStream{70000};
    // By then the burst has exceeded its share, and what waited until then has been served.
    constexpr millis kMeasured{
        40000};  // by then the burst has exceeded its share and the backlog is served
    plan_rig rig(order, 8, 2, 20);
    // Different durations, so that the runs do not all end at the same time.
    for (int i = 0; i < 300; ++i) rig.Add(kBurst, "1", kWork + millis(i % 5 * 300 - 600));
    std::vector<std::string> stream;
    while (rig.now < kStream) {
      stream.push_back(rig.Add(kOther, "1", kWork));
      rig.RunUntil(rig.now + kWork);
    }
    rig.RunUntil(millis(160000));
    for (const auto& job : stream) {
      longest = std::max(longest, rig.Waited(job));
      if (rig.jobs.Find(job)->accepted >= kMeasured) later = std::max(later, rig.Waited(job));
    }
  }
};

// Guards against one organisation's burst making another one wait until it has been served.
TEST_CASE("an organisation hands in a burst beside another one's steady jobs") {
  const burst_waits fair("fair_deadline");
  const burst_waits baseline("deadline");
  MESSAGE("longest wait " << fair.longest.count() << " ms, once measured " << fair.later.count()
                          << " ms; by deadline " << baseline.longest.count() << " ms and "
                          << baseline.later.count() << " ms");
  SUBCASE("once the burst's usage shows, the other one waits for a single run at most") {
    CHECK(fair.later <= kWork);
    CHECK(baseline.later > kWork * 10);
  }
  SUBCASE("and its longest wait is shorter than by deadline") {
    CHECK(fair.longest * 2 < baseline.longest);
  }
}

// Guards against a rule that puts back more than it should, or less.
TEST_CASE("an organisation above its fair share and another one wait for the same worker") {
  busy_rig rig("fair_deadline");
  rig.Settle();
  const auto wait = [&](int organisation, std::string_view queue = "1") {
    std::string id = rig.Add(organisation, queue, kWork);
    rig.now += millis(10);  // whoever comes first has the earlier deadline
    return id;
  };
  SUBCASE("the other one goes first, although its deadline is later") {
    wait(kBurst);
    wait(kOther);
    CHECK(rig.Next() == rig.Organisation(kOther));
    CHECK(rig.usage.crowding() == 1);
    const auto* usage = rig.usage.Find(rig.Organisation(kBurst), "drying");
    REQUIRE(usage != nullptr);
    CHECK(usage->present == doctest::Approx(7.0 / 8));
    CHECK(usage->fair == doctest::Approx(0.5));
    SUBCASE("without a ledger, or by deadline, it does not") {
      CHECK(rig.jobs.Find(rig.Plan(false).starts.at(0).unit.job)->job.organisation ==
            rig.Organisation(kBurst));
      busy_rig baseline("deadline");
      baseline.Settle();
      baseline.Add(kBurst, "1", kWork);
      baseline.now += millis(10);
      baseline.Add(kOther, "1", kWork);
      CHECK(baseline.Next() == rig.Organisation(kBurst));
    }
    SUBCASE("a new planner that finds the runs decides the same at once") {
      rig.usage = {};
      rig.least_term = 5;  // while runs of earlier terms are unknown, nothing is measured
      rig.usage.Update(rig.View(true));
      rig.least_term = 0;
      CHECK(rig.Next() == rig.Organisation(kOther));
    }
    SUBCASE("a step of the clock back changes nothing") {
      const double share = usage->share;
      rig.now = rig.now - millis(30000);
      rig.usage.Update(rig.View(true));
      CHECK(rig.usage.Find(rig.Organisation(kBurst), "drying")->share == share);
    }
  }
  SUBCASE("its guarantee counts towards its fair share") {
    rig.config.organisations[kBurst].guaranteed_accelerators = 32;
    wait(kBurst);
    wait(kOther);
    CHECK(rig.Next() == rig.Organisation(kBurst));
    CHECK(rig.usage.Find(rig.Organisation(kBurst), "drying")->fair == doctest::Approx(0.75));
  }
  SUBCASE("a unit of it that has waited beyond its slack goes by its deadline") {
    const std::string old = wait(kBurst);
    const millis slack = kWork * 2 + millis(1000);
    rig.now = rig.jobs.Find(old)->accepted + slack;
    wait(kOther);
    CHECK(rig.Next() == rig.Organisation(kBurst));
  }
  SUBCASE("a guaranteed job of it is never put behind, one beyond the guarantee is") {
    rig.config.organisations[kBurst].guaranteed_accelerators = 8;
    wait(kBurst, "0");
    wait(kOther, "0");
    CHECK(rig.Next() == rig.Organisation(kBurst));
    rig.config.organisations[kBurst].guaranteed_accelerators = 7;
    CHECK(rig.Next() == rig.Organisation(kOther));
  }
  SUBCASE("its more urgent job still goes before less urgent ones, and a scheduled one as before") {
    wait(kOther, "2");
    SUBCASE("urgent") { wait(kBurst, "1"); }
    SUBCASE("scheduled") {
      batch_job job = rig.jobs.Find(rig.running)->job;
      job.queue = "2";
      job.steps[0].count = 1;
      job.occurrences = 1;
      job.steps[0].estimate = millis(100);
      rig.Add(job);
    }
    CHECK(rig.Next() == rig.Organisation(kBurst));
  }
  SUBCASE("it leaves the configuration: it is dropped with its last run") {
    rig.config.organisations.erase(rig.config.organisations.begin());
    wait(kOther);
    rig.Plan();
    CHECK(rig.usage.Find(rig.Organisation(kBurst), "drying") != nullptr);
    rig.now += kLong;
    rig.EndRuns();
    rig.Plan();
    CHECK(rig.usage.Find(rig.Organisation(kBurst), "drying") == nullptr);
    CHECK(rig.usage.Find(rig.Organisation(kOther), "drying") != nullptr);
  }
}

// Guards against an organisation that is above its share and starves while others always wait.
TEST_CASE("others hand in more than the cluster can do while an organisation is above its share") {
  constexpr int kOthers = 5;  // so that it stays above its share for longer than its slack
  plan_rig rig("fair_deadline", 8, 1 + kOthers);
  for (int i = 0; i < 64; ++i) rig.Add(kBurst, "1", kWork);
  rig.RunUntil(kWork * 8);
  std::vector<std::string> waiting;
  for (int i = 0; i < 8; ++i) waiting.push_back(rig.Add(kBurst, "1", kWork));
  bool crowded = false;
  for (int i = 0; i < 100; ++i) {
    rig.Add(kOther + i % kOthers, "1", kWork);
    rig.RunUntil(rig.now + millis(400));
    crowded = crowded || rig.usage.crowding() > 0;
  }
  CHECK(crowded);
  const millis slack = kWork * 2 + millis(1000);
  for (const auto& job : waiting) CHECK(rig.Waited(job) <= slack + kWork);
}

// Guards against any change of plans where no organisation crowds out another.
TEST_CASE("random loads in which every organisation uses the same share, or only one waits") {
  int compared = 0;
  int started = 0;
  for (uint32_t seed = 1; seed <= 400; ++seed) {
    std::mt19937 random(seed);
    const auto draw = [&](int most) {
      return static_cast<int>(random() % static_cast<uint32_t>(most));
    };
    const bool alone = draw(2) == 0;  // the first organisation uses most, and only it waits
    const int organisations = (alone ? 2 : 1) + draw(5);
    const int each = 1 + draw(3);  // running tasks of each organisation
    const int most = alone ? each * organisations * 2 : each;
    const int workers = (organisations - 1) * each + most + 1 + (alone ? 0 : draw(6));
    plan_rig fair("fair_deadline", workers, organisations);
    plan_rig baseline("deadline", workers, organisations);
    const auto both = [&](const auto& action) {
      action(fair);
      action(baseline);
    };
    both([&](plan_rig& rig) {
      for (int o = 0; o < organisations; ++o) rig.Add(o, "1", kLong, o == 0 ? most : each);
      for (const auto& start : rig.Plan().starts) rig.Start(start);
      rig.usage.Update(rig.View(true));
      rig.now += millis(100000);
    });
    for (int i = 0; i < 30; ++i) {
      const int organisation = alone ? 0 : i < organisations ? i : draw(organisations);
      const std::string queue = std::to_string(draw(3));
      const millis work(500 + draw(8000));
      const int tasks = 1 + draw(3);
      const millis pause(draw(1500));
      both([&](plan_rig& rig) {
        rig.Add(organisation, queue, work, tasks);
        rig.now += pause;
      });
    }
    const start_plan plan = fair.Plan();
    const start_plan expected = baseline.Plan();
    REQUIRE(fair.usage.crowding() == 0);
    CHECK(fair.usage.Find(plan_rig::Organisation(0), "drying")->over == alone);
    ++compared;
    started += static_cast<int>(plan.starts.size());
    REQUIRE(plan.starts.size() == expected.starts.size());
    for (size_t i = 0; i < plan.starts.size(); ++i) {
      CHECK(plan.starts[i].unit == expected.starts[i].unit);
      CHECK(plan.starts[i].workers == expected.starts[i].workers);
    }
    CHECK(plan.preempted == expected.preempted);
  }
  MESSAGE(compared << " loads compared, with " << started << " starts");
  CHECK(started > compared);
}

// Guards against a planner that does not measure, in its first or in a later term.
TEST_CASE("entries with planners of their own serve an organisation beside another one's burst") {
  batch_world world;
  world.Configure([](batch_config& config) {
    for (auto& organisation : config.organisations) organisation.guaranteed_accelerators = 0;
    for (auto& queue : config.queues) queue.stretch = 20;
  });
  world.RunFor(millis(5000));
  batch_job burst = MakeBatchJob("b1", "usual", 120, kWork, 8);
  burst.organisation = "brokers";
  world.Submit(burst);
  world.Watch(burst.id);
  world.RunFor(millis(35000));
  SUBCASE("the planner stays") {}
  SUBCASE("the planner is replaced") { world.KillEntry(world.Planner(), millis(60000)); }
  world.RunFor(millis(15000));
  REQUIRE_FALSE(world.check().completed(burst.id).has_value());
  const batch_job other = MakeBatchJob("a1", "usual", 1, kWork, 8);
  const millis submitted = world.now();
  world.Submit(other);
  world.Watch(other.id);
  world.RunFor(millis(60000));
  const auto began = world.check().began(other.id + ".0.0.0");
  REQUIRE(began.has_value());
  INFO("waited ", (*began - submitted).count(), " ms");
  // One run, and the time until the caller reaches an entry that is up.
  CHECK(*began - submitted < kWork * 2);
  CHECK(world.check().completed(burst.id).has_value());
  RequireKept(world);
}

}  // namespace
}  // namespace eelgrass
