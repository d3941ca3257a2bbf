#include <doctest/doctest.h>

#include <array>
#include <cmath>

#include "kernel/learning/rate_comparison.h"
#include "kernel/learning/run_progress.h"
#include "kernel/learning/worker_speeds.h"
#include "kernel/placement/speed_match.h"

namespace eelgrass {
namespace {

constexpr millis kListing{500};

/** Lists a run that works at `rate` percent per second for a while; returns what is done then. */
double List(run_progress& run, double done, double rate, millis from, millis until) {
  for (millis at = from; at <= until; at += kListing) {
    const double share = done + rate * static_cast<double>((at - from).count()) / 1000;
    run.Observe(static_cast<int64_t>(share), at);
  }
  return done + rate * static_cast<double>((until - from).count()) / 1000;
}

TEST_CASE("the speed of a run is measured from the percentages that its worker lists") {
  run_progress run;

  SUBCASE("percentages are rounded down, and the rate is right to within its error") {
    for (const double rate : {2.3, 7.9, 13.7, 31.0}) {
      run_progress one;
      List(one, 0.9, rate, millis(1000), millis(1000) + millis(static_cast<int64_t>(90e3 / rate)));
      REQUIRE(one.rate().has_value());
      const double off = std::abs(one.rate()->percent_per_second / rate - 1);
      CHECK(off < 3 * one.rate()->error);
      CHECK(one.rate()->error < 0.1);
    }
  }
  SUBCASE("less than five percent are no measurement, however often they are listed") {
    List(run, 0, 0.15, millis(0), millis(30000));
    CHECK_FALSE(run.rate().has_value());
    CHECK_FALSE(run.Remaining(millis(30000)).has_value());
    SUBCASE("and a run this slow is measured once it has done them") {
      List(run, 4.5, 0.15, millis(30500), millis(120000));
      REQUIRE(run.rate().has_value());
      CHECK(run.rate()->percent_per_second == doctest::Approx(0.15).epsilon(0.1));
    }
  }
  SUBCASE("a run that turns slow shows it within the seconds that the window covers") {
    const double before = List(run, 0, 12, millis(0), millis(4000));
    REQUIRE(run.rate()->percent_per_second == doctest::Approx(12).epsilon(0.1));
    List(run, before, 3, millis(4000), millis(7500));
    CHECK(run.rate()->percent_per_second == doctest::Approx(3).epsilon(0.2));
    CHECK(*run.Remaining(millis(7500)) > millis(10000));
  }
  SUBCASE("the remaining time counts from now, not from the latest listing") {
    List(run, 0, 10, millis(0), millis(5000));
    CHECK(*run.Remaining(millis(5000)) == millis(5000));
    CHECK(*run.Remaining(millis(6200)) == millis(3800));
    CHECK(*run.Remaining(millis(99000)) == millis(0));
  }
  SUBCASE("a member that waits at 99 for the others keeps the rate at which it worked") {
    List(run, 0, 20, millis(0), millis(4500));
    const double rate = run.rate()->percent_per_second;
    for (millis at(5000); at < millis(20000); at += kListing) run.Observe(99, at);
    CHECK(run.rate()->percent_per_second == rate);
    CHECK(run.Stalled() < millis(1000));
    CHECK(run.percent() < 98);
  }
  SUBCASE("all of the work, or no progress, from the start on is never a measurement") {
    for (const int64_t listed : {100, -1}) {
      run_progress one;
      for (millis at(0); at < millis(20000); at += kListing) one.Observe(listed, at);
      CHECK_FALSE(one.rate().has_value());
      CHECK(one.Stalled() == millis(0));
    }
  }
  SUBCASE("a run stands still") {
    const double done = List(run, 0, 10, millis(0), millis(4000));
    List(run, done, 0, millis(4500), millis(8000));
    CHECK(run.Stalled() == millis(4000));
    CHECK(run.rate()->percent_per_second < 5);
    SUBCASE("time without listings is no standstill") { CHECK(run.Stalled() == millis(4000)); }
    SUBCASE("and goes on") {
      List(run, done + 1, 10, millis(8500), millis(12500));
      CHECK(run.Stalled() == millis(0));
      CHECK(run.rate()->percent_per_second == doctest::Approx(10).epsilon(0.1));
    }
  }
  SUBCASE("a listing that arrives after a later one changes nothing") {
    List(run, 0, 10, millis(0), millis(4000));
    const double rate = run.rate()->percent_per_second;
    run.Observe(1, millis(3900));
    CHECK(run.percent() == 40);
    CHECK(run.rate()->percent_per_second == rate);
  }
  SUBCASE("a run that starts over from a checkpoint is measured anew") {
    List(run, 40, 10, millis(0), millis(4000));
    run.Observe(20, millis(4500));
    CHECK_FALSE(run.rate().has_value());
    List(run, 20, 4, millis(5000), millis(9000));
    CHECK(run.rate()->percent_per_second == doctest::Approx(4).epsilon(0.15));
  }
}

constexpr double kEqualWork = 0.03;
constexpr double kStepWork = 0.25;

/** The common level of three machines is as uncertain as the mean of three unknown ones, 0.29. */
constexpr double kLevelDeviation = 0.25;

/** Machines with known slowness, as factors of the time that work takes. */
struct compared_machines {
  rate_comparison rates;
  std::vector<double> factors;
  millis now{0};

  static std::string Name(int machine) { return "vm-" + std::to_string(machine); }

  /** One run on a machine; `percent` is the rate on a machine of factor 1. */
  void Run(const std::string& group, int machine, double percent, double spread = kEqualWork) {
    const std::string name = Name(machine);
    const double rate = percent / factors[static_cast<size_t>(machine)];
    rates.Observe({name, group, group + "." + name, rate, spread}, now);
  }
  void Gang(const std::string& group, const std::vector<int>& machines, double percent) {
    for (const int machine : machines) Run(group, machine, percent);
  }
  void Estimate() {
    now += millis(1000);
    rates.Estimate(now);
  }
  double Slowness(int machine) const { return rates.Of(Name(machine))->mean; }
  double Deviation(int machine) const { return rates.Of(Name(machine))->deviation; }

  /** How much slower one machine is estimated to be than another, as a factor. */
  double Ratio(int machine, int than) const { return std::exp(Slowness(machine) - Slowness(than)); }
};

TEST_CASE("machines are compared by the rates of equal work") {
  compared_machines all;

  SUBCASE("gangs on machines of three speeds, each gang with other work") {
    for (int i = 0; i < 12; ++i) all.factors.push_back(std::array{0.6, 1.0, 1.6}[i % 3]);
    for (int i = 0; i < 12; ++i) {
      const std::vector<int> members{i, (i + 1) % 12, (i + 5) % 12, (i + 9) % 12};
      all.Gang("g" + std::to_string(i), members, 3 + 2 * i);
    }
    all.Estimate();
    for (int i = 0; i < 12; ++i) {
      for (int k = 0; k < i; ++k) {
        const double truth =
            all.factors[static_cast<size_t>(i)] / all.factors[static_cast<size_t>(k)];
        CHECK(all.Ratio(i, k) == doctest::Approx(truth).epsilon(0.1));
      }
    }
  }
  SUBCASE("groups that have one machine in common are compared through it") {
    all.factors = {0.6, 1.0, 1.6, 1.0, 0.6};
    all.Gang("left", {0, 1, 2}, 5);
    all.Gang("right", {2, 3, 4}, 40);
    all.Estimate();
    CHECK(all.Ratio(1, 0) == doctest::Approx(1 / 0.6).epsilon(0.1));
    CHECK(all.Ratio(2, 4) == doctest::Approx(1.6 / 0.6).epsilon(0.1));
    // Across the groups, although their work differs by a factor of eight.
    CHECK(all.Ratio(2, 0) == doctest::Approx(1.6 / 0.6).epsilon(0.1));
    CHECK(all.Ratio(3, 0) == doctest::Approx(1 / 0.6).epsilon(0.15));
    SUBCASE("and without it neither group says anything of the other") {
      compared_machines apart;
      apart.factors = all.factors;
      apart.Gang("left", {0, 1}, 5);
      apart.Gang("right", {3, 4}, 40);
      apart.Estimate();
      CHECK(apart.Ratio(1, 0) > 1.3);
      CHECK(apart.Slowness(0) + apart.Slowness(1) == doctest::Approx(0));
      CHECK(apart.Slowness(3) + apart.Slowness(4) == doctest::Approx(0));
    }
  }
  SUBCASE("a group alone tells nothing of its common level") {
    all.factors = {1.6, 1.6, 1.6};
    all.Gang("g", {0, 1, 2}, 0.5);
    all.Estimate();
    for (int i = 0; i < 3; ++i) {
      CHECK(all.Slowness(i) == doctest::Approx(0));
      CHECK(all.Deviation(i) > kLevelDeviation);
    }
  }
  SUBCASE("a machine alone in its group is not estimated") {
    all.factors = {1.6};
    all.Gang("g", {0}, 5);
    all.Estimate();
    CHECK_FALSE(all.rates.Of("vm-0").has_value());
  }
  SUBCASE("a single task that takes seven times as long makes no machine slow") {
    all.factors.assign(10, 1.0);
    for (int step = 0; step < 4; ++step) {
      for (int i = 0; i < 10; ++i) {
        const bool long_task = step == 3 && i == 4;
        all.Run("s" + std::to_string(step), i, long_task ? 10.0 / 7 : 10, kStepWork);
      }
    }
    all.Estimate();
    CHECK(all.Ratio(4, 5) < 1.4);
    for (int i = 0; i < 10; ++i) {
      if (i != 4) CHECK(all.Ratio(i, 5) == doctest::Approx(1).epsilon(0.05));
    }
    SUBCASE("but four tasks out of four do") {
      for (int step = 0; step < 4; ++step) {
        all.Run("s" + std::to_string(step), 4, 10.0 / 7, kStepWork);
      }
      all.Estimate();
      CHECK(all.Ratio(4, 5) > 3);
    }
  }
  SUBCASE("a machine turns slow in the middle of its runs and recovers seconds later") {
    all.factors.assign(8, 1.0);
    for (int i = 0; i < 8; ++i) {
      all.Gang("g" + std::to_string(i), {i, (i + 1) % 8, (i + 3) % 8}, 10);
    }
    all.Estimate();
    REQUIRE(all.Ratio(0, 4) == doctest::Approx(1).epsilon(0.05));
    all.now += millis(3000);
    all.factors[0] = 5;
    all.Run("g0", 0, 10);
    all.Estimate();
    CHECK(all.Ratio(0, 4) > 3);
    all.now += millis(5000);
    all.factors[0] = 1;
    all.Run("g0", 0, 10);
    all.Estimate();
    CHECK(all.Ratio(0, 4) == doctest::Approx(1).epsilon(0.1));
  }
  SUBCASE("a prior counts until the machine's own runs change") {
    all.factors.assign(4, 1.0);
    all.rates.SetPrior("vm-0", {{0.5, 0.15}});
    all.Estimate();
    CHECK(all.Slowness(0) == doctest::Approx(0.5));
    all.Gang("g", {0, 1, 2, 3}, 10);
    all.factors[0] = 2;
    all.Run("g", 0, 10);
    all.factors[0] = 1;
    all.Run("g", 0, 10);
    all.Estimate();
    CHECK(all.Ratio(0, 1) == doctest::Approx(1).epsilon(0.05));
  }
  SUBCASE("estimates are kept for 4,096 machines, those that have worked last") {
    all.factors.assign(5000, 1.0);
    for (int i = 0; i < 5000; ++i) {
      all.now += millis(1);
      all.rates.SetPrior(compared_machines::Name(i), {{0, 0.1}});
      all.Run("g" + std::to_string(i / 4), i, 10);
    }
    all.Estimate();
    CHECK(all.rates.estimates().size() == 4096);
    CHECK_FALSE(all.rates.Of("vm-903").has_value());
    CHECK(all.rates.Of("vm-904").has_value());
  }
  SUBCASE("rates that are no rates are ignored") {
    for (const double rate : {0.0, -1.0, std::nan("")}) {
      all.rates.Observe({"vm-0", "g", "r", rate, kEqualWork}, all.now);
    }
    all.Estimate();
    CHECK(all.rates.estimates().empty());
  }
}

// Gangs on the same machines repeat one comparison of their speeds; taken for independent ones,
// they would make a rack whose machines are all slow known as typical.
TEST_CASE("many gangs on the same machines tell no more of their common level than one") {
  compared_machines all;
  all.factors = {1.6, 1.6, 1.6};
  for (int i = 0; i < 12; ++i) all.Gang("g" + std::to_string(i), {0, 1, 2}, 3 + 2 * i);
  all.Estimate();
  for (int i = 0; i < 3; ++i) CHECK(all.Deviation(i) > kLevelDeviation);
}

// Measured over a window, a change shows in steps that are each smaller than it. Older comparisons
// must not outweigh it for that.
TEST_CASE("a machine that turns slow is known as slow though its rate falls step by step") {
  compared_machines all;
  all.factors.assign(8, 1.0);
  for (int i = 0; i < 8; ++i) {
    all.Gang("g" + std::to_string(i), {i, (i + 1) % 8, (i + 3) % 8}, 10);
  }
  all.Gang("last", {1, 2, 3}, 20);
  run_progress run;
  millis listed(0);
  double done = 0;
  const auto work = [&](double rate, int listings) {
    for (int i = 0; i < listings; ++i) {
      listed += kListing;
      done += rate / 2;
      run.Observe(static_cast<int64_t>(done), listed);
      const auto measured = run.rate();
      if (!measured) continue;
      all.rates.Observe({"vm-0", "last", "last.vm-0", measured->percent_per_second, kEqualWork},
                        listed);
    }
  };
  work(20, 4);
  work(8, 8);
  all.now = listed;
  all.Estimate();
  CHECK(all.Ratio(0, 4) == doctest::Approx(2.5).epsilon(0.15));
}

worker_profile WorkerOn(const std::string& vm, const std::string& id) {
  worker_profile profile;
  profile.self = {id, 1};
  profile.vm = vm;
  return profile;
}

/** Speeds of nine VMs, three each at 0.6, 1 and 1.6 of the usual time, learned from gangs. */
struct learned_speeds {
  worker_speeds speeds;
  millis now{0};

  static double Factor(int vm) { return std::array{0.6, 1.0, 1.6}[static_cast<size_t>(vm % 3)]; }
  static worker_profile Worker(int vm) {
    return WorkerOn("vm-" + std::to_string(vm), "w" + std::to_string(vm));
  }

  learned_speeds() {
    batch_step step;
    step.gang = true;
    for (int gang = 0; gang < 9; ++gang) {
      for (const int vm : {gang, (gang + 1) % 9, (gang + 5) % 9}) {
        const unit_ref unit{"job-" + std::to_string(gang), 0, 0, 0};
        const std::string task = unit.job + ".0.0." + std::to_string(vm);
        speeds.ObserveRate(Worker(vm), step, unit, {task, 1}, {10 / Factor(vm), 0.02}, now);
      }
    }
    now += millis(1000);
    speeds.Update(now);
  }
};

TEST_CASE("the speed of a worker is that of its VM, relative to the typical one") {
  learned_speeds learned;
  const worker_speeds& speeds = learned.speeds;

  SUBCASE("slow, typical and fast VMs are known as such") {
    for (int vm = 0; vm < 9; ++vm) {
      const worker_speed speed = speeds.SpeedOf(learned_speeds::Worker(vm));
      CHECK(speed.known);
      CHECK(speed.slowdown == doctest::Approx(learned_speeds::Factor(vm)).epsilon(0.15));
    }
    CHECK(speeds.greatest_slowdown() == doctest::Approx(1.6).epsilon(0.15));
    CHECK(speeds.Pace(learned_speeds::Worker(0)) == worker_pace::kTypical);
    CHECK(speeds.Pace(learned_speeds::Worker(2)) == worker_pace::kSlow);
  }
  SUBCASE("the next incarnation on a VM has its speed, and moving away leaves it there") {
    CHECK(speeds.Pace(WorkerOn("vm-2", "another")) == worker_pace::kSlow);
    CHECK_FALSE(speeds.SpeedOf(WorkerOn("vm-new", "w2")).known);
  }
  SUBCASE("VMs that have left do not count for the typical one, and keep their speed") {
    worker_pool pool;
    // Six stay, of which most are slow: without the others a slow one is typical.
    for (const int vm : {2, 5, 8, 1, 4, 0}) {
      pool.Get("w" + std::to_string(vm)).profile = learned_speeds::Worker(vm);
    }
    learned.speeds.Retain(pool);
    learned.speeds.Update(learned.now + millis(1000));
    CHECK(speeds.greatest_slowdown() == doctest::Approx(1).epsilon(0.1));
    CHECK(speeds.SpeedOf(learned_speeds::Worker(2)).slowdown == doctest::Approx(1).epsilon(0.1));
    CHECK(speeds.SpeedOf(learned_speeds::Worker(7)).known);
    CHECK(speeds.SpeedOf(learned_speeds::Worker(7)).slowdown ==
          doctest::Approx(1 / 1.6).epsilon(0.15));
  }
  SUBCASE("nothing is known of a VM that has not worked") {
    const worker_speed speed = speeds.SpeedOf(WorkerOn("vm-new", "new"));
    CHECK_FALSE(speed.known);
    CHECK(speed.slowdown == 1);
  }
  SUBCASE("a worker that does not name its VM stands for itself") {
    CHECK_FALSE(speeds.SpeedOf(WorkerOn("", "w2")).known);
  }
  SUBCASE("a single task that takes seven times as long makes no VM slow") {
    batch_step step;
    for (const int vm : {0, 1, 3, 4, 6, 7}) {
      const unit_ref unit{"wide", 0, 0, vm};
      const double rate = 10 / learned_speeds::Factor(vm) / (vm == 1 ? 7 : 1);
      const std::string task = "wide.0.0." + std::to_string(vm);
      learned.speeds.ObserveRate(learned_speeds::Worker(vm), step, unit, {task, 1}, {rate, 0.05},
                                 learned.now);
    }
    learned.speeds.Update(learned.now + millis(1000));
    CHECK(speeds.Pace(learned_speeds::Worker(1)) == worker_pace::kTypical);
    CHECK(speeds.SpeedOf(learned_speeds::Worker(1)).slowdown == doctest::Approx(1).epsilon(0.1));
  }
  SUBCASE("a VM that takes more than twice as long is crawling") {
    batch_step step;
    step.gang = true;
    for (int gang = 0; gang < 3; ++gang) {
      const unit_ref unit{"late-" + std::to_string(gang), 0, 0, 0};
      for (const int vm : {1, 4, 7}) {
        const double rate = vm == 1 ? 2 : 10;
        const std::string task = unit.job + ".0.0." + std::to_string(vm);
        learned.speeds.ObserveRate(learned_speeds::Worker(vm), step, unit, {task, 1}, {rate, 0.02},
                                   learned.now + millis(60000));
      }
    }
    learned.speeds.Update(learned.now + millis(61000));
    CHECK(speeds.Pace(learned_speeds::Worker(1)) == worker_pace::kVerySlow);
  }
}

TEST_CASE("a unit is kept away from the workers on which it would miss its objective") {
  learned_speeds learned;
  job_table jobs(millis(0));
  worker_pool pool;
  batch_config config;
  std::set<std::string> evacuated;
  planning_view view{jobs, pool, config, evacuated, learned.speeds};
  batch_queue queue;
  queue.stretch = 1.5;
  queue.target_latency = millis(250);
  tracked_job job;
  batch_step step;
  step.estimate = millis(2000);
  job.job.steps = {step};
  job.accepted = view.now = millis(10000);

  const auto match = [&] {
    ready_unit unit;
    unit.job = &job;
    unit.step = job.job.steps.data();
    unit.queue = &queue;
    return speed_match(unit, view);
  };
  const auto rank = [&](double slowdown, bool known = true) {
    candidate_worker candidate;
    candidate.speed = {slowdown, known};
    return match().Rank(candidate);
  };
  const auto all_alike = [&] {
    return !match().sensitive() && rank(0.6) == rank(1.6) && rank(1) == rank(1, false);
  };

  SUBCASE("in time comes before unknown, and unknown before late") {
    CHECK(match().sensitive());
    CHECK(rank(0.6) == rank(1));
    CHECK(rank(1) < rank(1, false));
    CHECK(rank(1, false) < rank(1.6));
  }
  SUBCASE("time that has passed since acceptance leaves less for slow workers") {
    REQUIRE(rank(1.3) == rank(1));
    view.now += millis(600);
    CHECK(rank(1.3) > rank(1));
  }
  SUBCASE("so does work that comes after this step") {
    batch_step later = step;
    later.after = {0};
    job.job.steps.push_back(later);
    queue.stretch = 1.1;
    REQUIRE(match().sensitive());
    CHECK(rank(1.6) > rank(1));
  }
  SUBCASE("a unit whose objective bears every known speed ranks all alike") {
    queue.stretch = 3;
    CHECK(all_alike());
  }
  SUBCASE("so does one that is late on a typical worker already") {
    view.now += millis(3000);
    CHECK(all_alike());
  }
  SUBCASE("so does every unit while no speed is known") {
    const worker_speeds none;
    const planning_view blank{jobs, pool, config, evacuated, none, nullptr, view.now};
    ready_unit unit;
    unit.job = &job;
    unit.step = job.job.steps.data();
    unit.queue = &queue;
    CHECK_FALSE(speed_match(unit, blank).sensitive());
  }
  SUBCASE("scheduled and long-running units have no objective that a speed could miss") {
    SUBCASE("scheduled") { job.job.occurrences = 3; }
    SUBCASE("long-running") { job.job.steps[0].long_running = true; }
    SUBCASE("without an estimate") { job.job.steps[0].estimate = millis(0); }
    CHECK(all_alike());
  }
}

}  // namespace
}  // namespace eelgrass
