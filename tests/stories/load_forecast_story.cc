#include <doctest/doctest.h>

#include "kernel/io/peer_codec.h"
#include "kernel/sharing/job_admission.h"
#include "kernel/sharing/load_forecaster.h"
#include "tests/world/batch_world.h"
#include "tests/world/gateway_world.h"

namespace eelgrass {
namespace {

constexpr millis kWork{10000};
const std::string kId = "00000000000000aa";

/** Four workers of 8 accelerators, and the queues of the loads that they get. */
struct planner_side {
  job_table jobs{millis(250)};
  worker_pool pool;
  batch_config config;
  std::set<std::string> evacuated;
  worker_speeds speeds;
  load_forecaster forecaster;

  planner_side() {
    for (const auto& [name, priority] : {std::pair{"urgent", 0}, {"usual", 1}, {"batch", 2}}) {
      batch_queue queue;
      queue.name = name;
      queue.service = "drying";
      queue.priority = priority;
      config.queues.push_back(queue);
    }
    for (int i = 0; i < 4; ++i) {
      pool_worker& worker = pool.Get("w" + std::to_string(i));
      worker.profile.self = {"w" + std::to_string(i), 1};
      worker.profile.service = "drying";
      worker.profile.capacity = {64000, 131072, 8};
      worker.linked = worker.listing = worker.recorded = true;
      worker.lease_end = millis(1000000);
    }
  }
  void Wait(std::string_view id, std::string_view queue, int tasks, int64_t gpus, bool gang) {
    jobs.Add(MakeBatchJob(id, queue, tasks, kWork, gpus, gang), millis(0));
    jobs.Release(millis(0), millis(0));
  }
  /** A job of single tasks of one accelerator each that fills all workers. */
  void Fill(std::string_view queue) {
    Wait("f", queue, 32, 1, false);
    for (int i = 0; i < 32; ++i) {
      const unit_ref unit{MakeBatchJob("f", queue, 1, kWork, 1).id, 0, 0, i};
      run_record run;
      run.unit = unit;
      run.each = jobs.StepOf(unit)->each;
      run.phase = run_phase::kRunning;
      run.began = millis(0);
      pool.Find("w" + std::to_string(i / 8))->runs[{std::to_string(i), 1}] = run;
      jobs.Find(unit)->open_runs = 1;
    }
  }
  planning_view View(millis now, int64_t least_term = 0) {
    for (auto& [id, worker] : pool.all()) worker.reported = now;
    return {jobs, pool, config, evacuated, speeds, nullptr, now, least_term, now};
  }
  queue_forecast Of(size_t queue, millis now) {
    return forecaster.Forecast(View(now)).queues[queue];
  }
};

// Guards against forecasts that reject jobs which would have started at once.
TEST_CASE("the planner forecasts how long jobs wait") {
  planner_side side;
  SUBCASE("not at all on a full cluster for which nothing waits, and nothing is published") {
    side.Fill("usual");
    CHECK(side.Of(1, millis(2000)).wait_ms == 0);
    CHECK_FALSE(side.forecaster.Next(side.View(millis(2000))).has_value());
  }
  SUBCASE("a backlog waits for the rest of what runs and for itself") {
    side.Fill("usual");
    side.Wait("b1", "usual", 64, 1, false);
    // 32 runs with 8 s left and 64 units of 10 s, on 32 accelerators.
    CHECK(side.Of(1, millis(2000)).wait_ms == 28000);
    SUBCASE("less urgent jobs wait for it too, more urgent ones do not") {
      CHECK(side.Of(2, millis(2000)).wait_ms == 28000);
      CHECK(side.Of(0, millis(2000)).wait_ms == 0);
    }
    SUBCASE("a gang of whole workers waits for workers to be free as well") {
      CHECK(side.Of(1, millis(2000)).wide_wait_ms == 36000);
    }
    SUBCASE("a worker that drains is no capacity") {
      side.pool.Find("w0")->profile.draining = true;
      CHECK(side.Of(1, millis(2000)).wait_ms > 28000);
    }
    SUBCASE("jobs of which the value is lost are behind all others and do not count") {
      CHECK(side.Of(1, millis(40000)).wait_ms == 0);
    }
    SUBCASE("it is repeated within 2 s, at once after a change, and not more often") {
      REQUIRE(side.forecaster.Next(side.View(millis(2000))).has_value());
      CHECK_FALSE(side.forecaster.Next(side.View(millis(2499))).has_value());
      CHECK_FALSE(side.forecaster.Next(side.View(millis(2500))).has_value());
      side.Wait("b2", "usual", 64, 1, false);
      CHECK_FALSE(side.forecaster.Next(side.View(millis(2750))).has_value());
      CHECK(side.forecaster.Next(side.View(millis(3000))).has_value());
      CHECK_FALSE(side.forecaster.Next(side.View(millis(3500))).has_value());
      CHECK(side.forecaster.Next(side.View(millis(5000))).has_value());
    }
    SUBCASE("and not before a new planner knows what runs") {
      CHECK_FALSE(side.forecaster.Next(side.View(millis(2000), 7)).has_value());
    }
  }
  SUBCASE("a unit that can never fit keeps nobody waiting") {
    side.Fill("usual");
    side.Wait("b1", "usual", 5, 8, true);
    side.Wait("b2", "usual", 1, 9, false);
    CHECK(side.Of(1, millis(2000)).wait_ms == 0);
    CHECK(side.Of(1, millis(2000)).wide_wait_ms == 0);
  }
  SUBCASE("a service without workers keeps nobody waiting") {
    side.Wait("b1", "usual", 64, 1, false);
    for (auto& [id, worker] : side.pool.all()) worker.linked = false;
    CHECK(side.Of(1, millis(2000)).wait_ms == 0);
  }
}

load_forecast MakeForecast(int64_t wait_ms, int64_t term = 5, int64_t created_ms = 1000) {
  load_forecast forecast;
  forecast.term = term;
  forecast.created_ms = created_ms;
  for (const char* name : {"usual", "urgent"}) {
    forecast.queues.push_back({name, wait_ms, wait_ms * 2, 0, {64000, 131072, 8}});
  }
  forecast.urgent.push_back({"shops", 4});
  return forecast;
}

// Guards against rejecting a job that could be of value, that is guaranteed, or that may be stored.
TEST_CASE("an entry rejects a job that cannot end while it is of value") {
  job_admission admission;
  batch_queue usual;
  usual.name = "usual";
  usual.priority = 1;
  usual.stretch = 3;
  usual.target_latency = millis(1000);
  const batch_organisation shops{"shops", {}, 8};
  // Of value until 3 x (3 x 1 s + 1 s) = 12 s after its acceptance: it has to begin within 11 s.
  batch_job job = MakeBatchJob("a", "usual", 1, millis(1000), 1);
  const auto rejects = [&](millis now) {
    return admission.Judge({kId, job}, usual, &shops, now).has_value();
  };
  const millis now{50000};
  admission.OnTerm(5);

  SUBCASE("nobody without a forecast") { CHECK_FALSE(rejects(now)); }
  SUBCASE("only beyond the forecast's error of a quarter") {
    admission.On(MakeForecast(14600), now);
    CHECK_FALSE(rejects(now));
    admission.On(MakeForecast(14800), now);
    CHECK(rejects(now));
  }
  SUBCASE("while the forecast applies") {
    admission.On(MakeForecast(60000), now);
    REQUIRE(rejects(now));
    SUBCASE("scheduled and long-running jobs are never rejected") {
      SUBCASE("scheduled") { job.occurrences = 1; }
      SUBCASE("long-running") { job.steps[0].long_running = true; }
      CHECK_FALSE(rejects(now));
    }
    SUBCASE("urgent jobs within the guarantee are never rejected, those beyond it are") {
      usual.name = "urgent";
      usual.priority = 0;
      job.steps[0].count = 4;
      CHECK_FALSE(rejects(now));
      job.steps[0].count = 5;
      CHECK(rejects(now));
    }
    SUBCASE("a forecast that is 10 s old rejects nobody: the entry is cut off") {
      CHECK(rejects(now + millis(3000)));
      CHECK_FALSE(rejects(now + millis(3001)));
      CHECK_FALSE(rejects(now + millis(10000)));
      CHECK(admission.queues(now + millis(10000)).empty());
    }
    SUBCASE("one that was 10 s on its way is as old") {
      admission.On(MakeForecast(60000, 5, 2000), now + millis(11000));
      CHECK_FALSE(rejects(now + millis(11000)));
    }
    SUBCASE("one of a former term rejects nobody, and cannot return") {
      admission.OnTerm(6);
      CHECK_FALSE(rejects(now));
      admission.On(MakeForecast(60000, 5, 2000), now);
      CHECK_FALSE(rejects(now));
      admission.On(MakeForecast(60000, 6), now);
      CHECK(rejects(now));
    }
    SUBCASE("one that makes no sense is not taken in") {
      load_forecast wrong = MakeForecast(0, 5, 2000);
      SUBCASE("negative") { wrong.queues[0].wait_ms = -1; }
      SUBCASE("beyond all bounds") { wrong.queues[0].wide_wait_ms = INT64_MAX; }
      SUBCASE("from the future") { wrong.age_ms = -1; }
      admission.On(wrong, now);
      CHECK(admission.refused_forecasts() == 1);
      CHECK(rejects(now));
    }
    SUBCASE("a job with an insertion of unknown outcome is not rejected") {
      admission.RememberUnknown(kId, now);
      CHECK_FALSE(rejects(now));
    }
    SUBCASE("nor any job while the store may carry out what it did not answer") {
      admission.OnStoreUnanswered(now - millis(14000));
      CHECK_FALSE(rejects(now));
      CHECK(rejects(now + millis(1000)));
    }
    SUBCASE("the memory of unknown outcomes is bounded; what it forgets rejects nobody") {
      admission.RememberUnknown(kId, now);
      for (int i = 0; i < 10000; ++i) admission.RememberUnknown(std::to_string(i), now);
      CHECK(admission.remembered() == 10000);
      CHECK_FALSE(rejects(now));
    }
    SUBCASE("returns are spread, and who was rejected before is ahead") {
      std::set<int64_t> first;
      std::set<int64_t> again;
      for (int i = 0; i < 100; ++i) {
        const std::string id = std::to_string(i);
        const auto rejection = admission.Judge({id, job}, usual, &shops, now);
        REQUIRE(rejection.has_value());
        first.insert(admission.Reject(*rejection, now).count());
        again.insert(admission.Reject(*rejection, now).count());
      }
      // The wait of 60 s has to fall to 14.67 s, which takes 45.3 s.
      CHECK(*again.begin() >= 45000);
      CHECK(*again.rbegin() <= *first.begin());
      CHECK(*first.rbegin() <= 68000);
      CHECK(first.size() > 6);
    }
    SUBCASE("the memory of rejected jobs is bounded") {
      auto rejection = *admission.Judge({kId, job}, usual, &shops, now);
      for (int i = 0; i < 10100; ++i) {
        rejection.job = std::to_string(i);
        admission.Reject(rejection, now);
      }
      CHECK(admission.remembered() == 10000);
    }
  }
  SUBCASE("a gang of whole workers is judged by the wait of large width") {
    admission.On(MakeForecast(8000), now);
    CHECK_FALSE(rejects(now));
    job = MakeBatchJob("a", "usual", 2, millis(1000), 8, true);
    CHECK(rejects(now));
  }
}

/** A deployment with a backlog of about 30 s for jobs that are of value for 12 s. */
struct crowded_world {
  batch_world world;
  explicit crowded_world(batch_world_options options) : world(std::move(options)) {
    world.RunFor(millis(5000));
  }
  void Crowd() {
    const batch_job wide = MakeBatchJob("c0", "usual", 150, millis(10000), 1);
    world.Submit(wide);
    world.RunFor(millis(3000));
  }
  batch_job HandIn(std::string_view id, std::string_view queue) {
    batch_job job = MakeBatchJob(id, queue, 1, millis(1000), 1);
    world.Submit(job);
    return job;
  }
  bool Stored(const batch_job& job) const {
    const auto rows = world.rows().Read({std::string(kJobsTable), "", job.id}).rows;
    return !rows.empty() && rows.front().at.key == job.id;
  }
};

// Guards against a rejection that is not true, and against rejections that outlast their cause.
TEST_CASE("a deployment with a backlog rejects what is hopeless") {
  batch_world_options options;
  options.workers = 4;
  crowded_world crowd(options);
  SUBCASE("nobody without a backlog") {
    const batch_job job = crowd.HandIn("a1", "usual");
    crowd.world.RunFor(millis(300));
    CHECK(crowd.Stored(job));
  }
  SUBCASE("with a backlog") {
    crowd.Crowd();
    SUBCASE("a hopeless job is not stored, a guaranteed one is") {
      const batch_job hopeless = crowd.HandIn("a1", "usual");
      const batch_job guaranteed = crowd.HandIn("a2", "urgent");
      crowd.world.RunFor(millis(300));
      CHECK_FALSE(crowd.Stored(hopeless));
      CHECK(crowd.Stored(guaranteed));
      SUBCASE("and is taken when the backlog is done") {
        crowd.world.RunFor(millis(40000));
        crowd.world.Submit(hopeless);
        crowd.world.Watch(hopeless.id);
        crowd.world.RunFor(millis(5000));
        CHECK(crowd.Stored(hopeless));
        CHECK(crowd.world.check().completed(hopeless.id).has_value());
      }
    }
    SUBCASE("a planner that is cut off is replaced, and the next one's forecast applies") {
      crowd.world.CutEntry(crowd.world.Planner(), true);
      crowd.world.RunFor(millis(3200));
      std::vector<batch_job> jobs;
      for (const char* id : {"a1", "a2", "a3"}) jobs.push_back(crowd.HandIn(id, "usual"));
      crowd.world.RunFor(millis(300));
      for (const auto& job : jobs) CHECK_FALSE(crowd.Stored(job));
    }
    SUBCASE("so is one that has ended") {
      crowd.world.KillEntry(crowd.world.Planner(), millis(60000));
      crowd.world.RunFor(millis(9000));
      const batch_job job = crowd.HandIn("a1", "usual");
      crowd.world.RunFor(millis(300));
      REQUIRE(crowd.world.Planner() >= 0);
      CHECK_FALSE(crowd.Stored(job));
    }
  }
}

// Guards against rejecting a job that an earlier call of the caller has stored, or may have.
TEST_CASE("a job that may be stored is not rejected") {
  constexpr std::array<std::string_view, 1> kOrders{"orders"};
  gateway_world world;
  world.Configure(kOrders);
  world.RunFor(millis(5000));
  load_forecast forecast = MakeForecast(60000);
  forecast.queues[0].queue = "orders";
  const auto submit = [&] {
    world.Publish(forecast);
    const uint64_t call = world.Submit("orders", "key-1");
    world.RunFor(millis(100));
    return call;
  };
  SUBCASE("one that is not stored is rejected, with a time to return after") {
    const uint64_t call = submit();
    REQUIRE(world.Answered(call, call_answer::kBusy));
    CHECK(world.answer(call)->retry_after >= millis(1000));
    CHECK_FALSE(world.answer(call)->elsewhere);
    SUBCASE("and accepted when the load is gone") {
      forecast.queues[0].wait_ms = 0;
      CHECK(world.Answered(submit(), call_answer::kAccepted));
    }
  }
  SUBCASE("one that is stored is accepted again") {
    const uint64_t first = world.Submit("orders", "key-1");
    world.RunFor(millis(100));
    REQUIRE(world.Answered(first, call_answer::kAccepted));
    CHECK(world.Answered(submit(), call_answer::kAccepted));
  }
  SUBCASE("one whose row the store does not show is inserted as without a forecast") {
    world.SetStore(store_service::kOnlyReads);
    const uint64_t call = submit();
    world.RunFor(millis(3000));
    REQUIRE(world.answer(call).has_value());
    CHECK_FALSE(world.Answered(call, call_answer::kBusy));
    SUBCASE("and not rejected while the store may still carry that out") {
      world.SetStore(store_service::kServes);
      world.RunFor(millis(2500));  // the entry sends nothing before the store has served something
      CHECK(world.Answered(submit(), call_answer::kAccepted));
    }
  }
  SUBCASE("one whose insertion is under way at the entry is not rejected") {
    world.SetStore(store_service::kOnlyReads);
    const uint64_t first = world.Submit("orders", "key-1");
    const uint64_t second = submit();
    world.RunFor(millis(3000));
    CHECK_FALSE(world.Answered(first, call_answer::kBusy));
    CHECK_FALSE(world.Answered(second, call_answer::kBusy));
  }
}

// Guards against a forecast that changes on its way.
TEST_CASE("a load forecast comes back as it was from the wire") {
  const auto codec = codec_registry::Instance().Create("cbor").value();
  const load_forecast sent = MakeForecast(1234);
  const auto read = codec->Decode(codec->Encode(sent));
  REQUIRE(read.has_value());
  const auto& got = std::get<load_forecast>(read.value());
  CHECK(got.term == sent.term);
  CHECK(got.created_ms == sent.created_ms);
  CHECK(got.queues == sent.queues);
  CHECK(got.urgent == sent.urgent);
}

}  // namespace
}  // namespace eelgrass
