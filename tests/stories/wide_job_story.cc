#include <doctest/doctest.h>

#include "kernel/batch/planner_journal.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr size_t kRowBytes = 65536;

/** A planner's journal that holds the term and has loaded an empty store. */
class journal_rig {
 public:
  journal_rig() {
    std::vector<store_request> calls;
    for (millis now(0); !term.holding(); now += millis(100)) {
      REQUIRE(now < millis(5000));
      if (auto call = term.Next(now)) term.On(Answer(*call), now);
    }
    for (int i = 0; i < 10 && !journal.loaded(); ++i) {
      Next(calls);
      for (const auto& call : calls) journal.On(Answer(call), jobs, pool, now_);
    }
    REQUIRE(journal.loaded());
  }

  /** Plays writes until nothing is left to store; returns their number. */
  int WriteAll() {
    int writes = 0;
    journal.RequestWrite();
    std::vector<store_request> calls;
    do {
      Next(calls);
      for (const auto& call : calls) {
        const auto* change = std::get_if<row_transaction>(&call.call);
        if (change == nullptr) continue;
        const store_reply reply = Answer(call);
        REQUIRE(std::get<transaction_result>(reply.answer).outcome == row_outcome::kDone);
        journal.On(reply, jobs, pool, now_);
        ++writes;
        if (const auto written = journal.TakeCommit()) {
          for (const auto& [id, state] : written->jobs) jobs.OnStored(id, state);
        }
      }
    } while (jobs.dirty() && writes < 1000);
    return writes;
  }

  /** The rows of progress in the store. */
  std::vector<job_progress> Stored() const {
    std::vector<job_progress> read;
    rows_result answer;
    std::string from;
    do {
      answer = rows.Read({std::string(kProgressTable), "", from});
      for (const auto& found : answer.rows) {
        CHECK(found.value.size() <= kRowBytes);
        read.push_back(codec->DecodeProgress(found.value).value());
        from = found.at.key + '!';
      }
    } while (answer.more);
    return read;
  }

  standin_rows rows;
  std::unique_ptr<batch_record_codec> codec =
      std::move(record_codec_registry::Instance().Create("json").value());
  term_election term{{"entry-0", "n", 0}, *codec};
  planner_journal journal{*codec, term, kRowBytes};
  job_table jobs{millis(250)};
  worker_pool pool;

 private:
  void Next(std::vector<store_request>& calls) {
    now_ += millis(1000);
    calls.clear();
    journal.Next(jobs, pool, now_, calls);
  }

  store_reply Answer(const store_request& call) {
    if (const auto* change = std::get_if<row_transaction>(&call.call)) {
      return {call.token, rows.Apply(*change)};
    }
    return {call.token, rows.Read(std::get<row_range>(call.call))};
  }

  millis now_{10000};
};

// Guards against review case 1: a row of progress beyond RowBytes was refused for ever, and with it
// all that the planner stores (LOST).
TEST_CASE("the progress of a wide job is stored within the store's limits") {
  journal_rig rig;
  const auto add = [&](std::string_view id, int tasks) {
    const batch_job job = MakeBatchJob(id, "usual", tasks, millis(1000), 0);
    rig.jobs.Add(job, millis(0));
    rig.jobs.Release(millis(0), millis(0));
    return job.id;
  };
  const auto restored = [&](const batch_job& job) {
    job_table next(millis(250));
    next.Add(job, millis(0));
    for (const auto& progress : rig.Stored()) next.Restore(progress);
    return next;
  };

  SUBCASE("all its tasks are done at once, and the next planner knows each of them") {
    const std::string id = add("a1", 5000);
    for (int i = 0; i < 4999; ++i) rig.jobs.OnDone({id, 0, 0, i}, 500 + i, millis(10));
    rig.WriteAll();
    job_table next = restored(rig.jobs.Find(id)->job);
    CHECK_FALSE(next.dirty());
    CHECK(next.FindStep({id, 0, 0, 0})->done == 4999);
    CHECK_FALSE(next.Find(unit_ref{id, 0, 0, 4999})->done);
    SUBCASE("a further end rewrites only its own row") {
      rig.jobs.OnDone({id, 0, 0, 4999}, 1, millis(20));
      const auto row = rig.jobs.TakeDirty();
      REQUIRE(row.has_value());
      CHECK(rig.jobs.Progress(*row)->tasks.size() <= 64);
      CHECK_FALSE(rig.jobs.dirty());
    }
    SUBCASE("of its rows only the first is kept once it has ended, with its state") {
      rig.jobs.Cancel(id);
      rig.WriteAll();
      REQUIRE(rig.Stored().size() == 1);
      CHECK(rig.Stored()[0].state == batch_state::kCancelled);
      CHECK(rig.Stored()[0].tasks.empty());
    }
    SUBCASE("rows that a planner did not come to remove do not bring it back, and go") {
      rig.jobs.Cancel(id);
      const job_progress over = *rig.jobs.Progress({id, 0});
      job_table later(millis(250));
      later.Add(rig.jobs.Find(id)->job, millis(0));
      auto rows = rig.Stored();
      later.Restore(over);
      for (const auto& progress : rows) {
        if (progress.part > 0) later.Restore(progress);
      }
      CHECK(later.Find(id)->state == batch_state::kCancelled);
      CHECK(later.open().empty());
      const auto left = later.TakeDirty();
      REQUIRE(left.has_value());
      CHECK(left->part > 0);
      CHECK_FALSE(later.Progress(*left).has_value());
    }
  }
  SUBCASE("many jobs of some hundred tasks end together, beyond the bytes of one call") {
    constexpr int kJobs = 60;
    for (int job = 0; job < kJobs; ++job) {
      const std::string id = add("b" + std::to_string(100 + job), 300);
      for (int i = 0; i < 300; ++i) rig.jobs.OnDone({id, 0, 0, i}, 500 + i, millis(10));
    }
    CHECK(rig.WriteAll() > 1);
    size_t done = 0;
    for (const auto& progress : rig.Stored()) done += progress.tasks.size();
    CHECK(done == kJobs * 300);
  }
  SUBCASE("checkpoints that do not fit are left out: their tasks begin anew") {
    const std::string id = add("c1", 64);
    for (int i = 0; i < 64; ++i) rig.jobs.OnSaved({id, 0, 0, i}, std::string(2000, 'x'));
    rig.jobs.OnFailed({id, 0, 0, 0}, 501, 3, "w1");
    rig.WriteAll();
    job_table next = restored(rig.jobs.Find(id)->job);
    CHECK(next.Find(unit_ref{id, 0, 0, 0})->failures() == 1);
    CHECK(next.Find(unit_ref{id, 0, 0, 1})->saved.empty());
  }
  SUBCASE("a row of an earlier version, with all tasks in it, is spread over the new rows") {
    const std::string id = add("d1", 200);
    job_progress whole{id, batch_state::kRunning, {}};
    for (int i = 0; i < 199; ++i) whole.tasks.push_back({0, 0, i, true, {}, ""});
    rig.jobs.Restore(whole);
    CHECK(rig.jobs.dirty());
    rig.WriteAll();
    // The first row is still the earlier version's until a task of it changes.
    job_table next(millis(250));
    next.Add(rig.jobs.Find(id)->job, millis(0));
    for (const auto& progress : rig.Stored()) next.Restore(progress);
    next.Restore(whole);
    CHECK(next.FindStep({id, 0, 0, 0})->done == 199);
    CHECK(rig.Stored().size() == 3);
  }
}

TEST_CASE("a wide job runs beside small ones while planners change") {
  batch_world world;
  world.RunFor(millis(5000));
  const batch_job wide = MakeBatchJob("e0", "usual", 1200, millis(300), 1);
  world.Submit(wide);
  world.Watch(wide.id);
  for (int i = 0; i < 10; ++i) {
    const batch_job job = MakeBatchJob("f" + std::to_string(i), "usual", 1, millis(300), 1);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(800));
    if (i == 5 && world.Planner() >= 0) world.KillEntry(world.Planner(), millis(1000));
  }
  world.RunFor(millis(40000));
  RequireKept(world);
}

TEST_CASE("a job that no row can hold is not stored and never runs") {
  batch_world world;
  world.RunFor(millis(5000));
  batch_job job = MakeBatchJob("a0", "usual", 1, millis(300), 1);
  job.steps.resize(1000, job.steps[0]);
  world.Submit(job);
  world.RunFor(millis(10000));
  CHECK(world.check().starts() == 0);
  CHECK(world.rows().Read({std::string(kJobsTable), "", ""}).rows.empty());
}

}  // namespace
}  // namespace eelgrass
