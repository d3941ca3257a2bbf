#include <doctest/doctest.h>

#include <algorithm>

#include "kernel/batch/term_election.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

TEST_CASE("an entry judges from the planner's row whether the planner is alive") {
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  term_election keeper({"b", "nonce-b"}, *codec);
  keeper.OnConnected("a", 0, millis(0));
  planner_notice notice;
  notice.term = 5;
  notice.planner = "a";
  keeper.OnNotice("a", notice, millis(0));
  REQUIRE_FALSE(keeper.Next(millis(1000)).has_value());
  keeper.OnDisconnected("a", millis(1000));
  const auto look = keeper.Next(millis(1100));
  REQUIRE(look.has_value());
  REQUIRE(std::holds_alternative<row_range>(look->call));

  // The row as the planner has sent it, and what the store's clock shows when it is read.
  const auto answer = [&](int64_t sent_ms, int64_t store_now) {
    term_record record{"a", "nonce-a", 5, 9, sent_ms};
    rows_result rows;
    rows.outcome = row_outcome::kDone;
    rows.store_now = millis(store_now);
    rows.rows.push_back(
        {{std::string(kTermTable), "", std::string(kHolderKey)}, codec->Encode(record), 70, false});
    keeper.On({0, rows}, millis(1110));
  };
  SUBCASE("it was sent long ago: the entry takes over at once") {
    answer(50000, 51400);
    const auto take = keeper.Next(millis(1110));
    REQUIRE(take.has_value());
    const auto* change = std::get_if<row_transaction>(&take->call);
    REQUIRE(change != nullptr);
    CHECK(change->conditions.front().revision == 70);
    SUBCASE("and its fence is the revision of the epoch that callers' jobs are accepted under") {
      CHECK(change->writes.size() == 2);
      CHECK(change->writes.back().at == EpochRow());
    }
  }
  SUBCASE("it was sent just now: the entry looks again when it would have been rewritten") {
    answer(51000, 51400);
    CHECK_FALSE(keeper.Next(millis(1110)).has_value());
    CHECK_FALSE(keeper.Next(millis(1900)).has_value());
    CHECK(keeper.Next(millis(2000)).has_value());
  }
  SUBCASE("it does not say when: the row is watched from now on") {
    answer(0, 51400);
    CHECK_FALSE(keeper.Next(millis(2300)).has_value());
    CHECK(keeper.Next(millis(2400)).has_value());
  }
}

TEST_CASE("a planner says that it has lost the store") {
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  term_election keeper({"b", "nonce-b"}, *codec);
  keeper.OnConnected("a", 0, millis(0));
  planner_notice notice;
  notice.term = 5;
  notice.planner = "a";
  notice.store_lost = true;
  keeper.OnNotice("a", notice, millis(0));
  keeper.OnStoreContact(millis(900));
  REQUIRE(keeper.Next(millis(1000)).has_value());
  const auto answer = [&](const term_record& record, int64_t revision) {
    rows_result rows;
    rows.outcome = row_outcome::kDone;
    rows.store_now = millis(51000);
    rows.rows.push_back({{std::string(kTermTable), "", std::string(kHolderKey)},
                         codec->Encode(record),
                         revision,
                         false});
    keeper.On({0, rows}, millis(1010));
  };
  const auto takes_over = [&] {
    const auto call = keeper.Next(millis(1010));
    return call && std::holds_alternative<row_transaction>(call->call);
  };
  SUBCASE("and the row is of its term: the entry takes over at once") {
    answer({"a", "nonce-a", 5, 9, 50900}, 70);
    CHECK(takes_over());
  }
  SUBCASE("and it has written nothing since it took over: the entry takes over at once") {
    answer({"a", "nonce-a", 0, 0, 0}, 5);
    CHECK(takes_over());
  }
  SUBCASE("but another entry has taken over since: that one is left to plan") {
    answer({"c", "nonce-c", 0, 0, 0}, 71);
    CHECK_FALSE(takes_over());
  }
  SUBCASE("but has taken over itself since: it is left to plan") {
    answer({"a", "nonce-a", 0, 0, 0}, 71);
    CHECK_FALSE(takes_over());
  }
}

/** Counts the takeovers while the time passes, by the row that each of them writes. */
int CountTakeovers(batch_world& world, millis time) {
  const auto revision = [&world] {
    const auto read =
        world.rows().Read(row_range{std::string(kTermTable), "", std::string(kEpochKey)});
    return read.rows.empty() ? int64_t{0} : read.rows.front().revision;
  };
  int takeovers = 0;
  int64_t last = revision();
  for (const millis end = world.now() + time; world.now() < end;) {
    world.RunFor(millis(1));
    if (revision() != last) ++takeovers;
    last = revision();
  }
  return takeovers;
}

TEST_CASE("many entries lose their planner once, and it changes once") {
  constexpr int kEntries = 35;
  constexpr int kStrong = 7;  // of them, the last ones, have more processor than the others
  batch_world_options options;
  options.entries = kEntries;
  for (int i = 0; i < kEntries; ++i) options.processor[i] = i < kEntries - kStrong ? 0.12 : 0.5;
  const auto is_strong = [](int entry) { return entry >= kEntries - kStrong; };
  batch_world world(options);
  CHECK(CountTakeovers(world, millis(5000)) == 1);
  CHECK(is_strong(world.Planner()));
  const batch_job job = MakeBatchJob("c5", "usual", 20, millis(9000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(500));

  SUBCASE("when the store has been silent") {
    world.SetStore(store_fault::kSilent);
    world.RunFor(millis(5700));
    world.SetStore(store_fault::kNone);
    CHECK(CountTakeovers(world, millis(4000)) == 1);
  }
  SUBCASE("when the planner ends") {
    world.KillEntry(world.Planner(), millis(3000));
    CHECK(CountTakeovers(world, millis(4000)) == 1);
  }
  SUBCASE("when the planner is cut off") {
    const int planner = world.Planner();
    world.CutEntry(planner, true);
    CHECK(CountTakeovers(world, millis(4000)) == 1);
    world.CutEntry(planner, false);
  }
  SUBCASE("when the store turns the planner away") {
    const int planner = world.Planner();
    world.SetStoreFor(planner, store_fault::kSilent);
    CHECK(CountTakeovers(world, millis(5000)) == 1);
    world.SetStoreFor(planner, store_fault::kNone);
  }
  CHECK(is_strong(world.Planner()));
  world.RunFor(millis(30000));
  RequireKept(world);
}

TEST_CASE("a planner takes over while a worker is out of reach") {
  batch_world world;
  world.RunFor(millis(5000));
  const batch_job before = MakeBatchJob("c1", "usual", 40, millis(6000), 1);
  world.Submit(before);
  world.Watch(before.id);
  world.RunFor(millis(500));
  const int planner = world.Planner();
  REQUIRE(planner >= 0);
  world.CutAgent(0, true);
  world.KillEntry(planner, millis(20000));
  world.RunFor(millis(2000));

  SUBCASE("a job that is accepted now has run nowhere yet, and starts at once") {
    const batch_job job = MakeBatchJob("c2", "urgent", 2, millis(500), 1, true);
    const millis handed_in = world.now();
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(4000));
    const auto began = world.check().began(job.id + ".0.0.0");
    REQUIRE(began.has_value());
    CHECK(*began - handed_in < millis(500));
  }
  SUBCASE(
      "the worker runs on what it had: nothing of that starts elsewhere before its lease ends") {
    CHECK(world.worker(0).running() > 0);
  }
  world.RunFor(millis(12000));
  world.CutAgent(0, false);
  world.RunFor(millis(20000));
  RequireKept(world);
}

TEST_CASE("a worker answers nothing until a new planner no longer waits for it") {
  constexpr int kWorker = 2;
  batch_world world;
  world.RunFor(millis(5000));
  const std::string id = world.worker(kWorker).self().id;
  const auto recorded = [&] {
    const auto read = world.rows().Read(row_range{std::string(kWorkersTable), "", ""});
    return std::any_of(read.rows.begin(), read.rows.end(),
                       [&](const row& found) { return found.at.key == id && !found.deleted; });
  };
  REQUIRE(recorded());
  world.SetMute(kWorker, true);
  world.KillEntry(world.Planner(), millis(2000));
  world.RunFor(millis(12000));
  REQUIRE(world.Planner() >= 0);

  SUBCASE("its agent reports it all the while: it stays recorded, since it may get runs again") {
    CHECK(recorded());
  }
  SUBCASE(
      "it answers again and gets runs: a later planner waits for it, as it may still have them") {
    world.SetMute(kWorker, false);
    world.RunFor(millis(3000));
    const batch_job job = MakeBatchJob("c3", "usual", 44, millis(6000), 1);
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(1000));
    REQUIRE(world.worker(kWorker).running() > 0);
    world.CutAgent(kWorker, true);
    world.KillEntry(world.Planner(), millis(2000));
    world.RunFor(millis(15000));
    world.CutAgent(kWorker, false);
    world.RunFor(millis(20000));
  }
  RequireKept(world);
}

TEST_CASE("two jobs wait for a full cluster, the longer one for some time already") {
  batch_world world;
  world.RunFor(millis(5000));
  const auto hand_in = [&](const batch_job& job) {
    world.Submit(job);
    world.Watch(job.id);
  };
  hand_in(MakeBatchJob("f1", "usual", 48, millis(16000), 1));
  world.RunFor(millis(1000));
  // Without waiting, the shorter one would be due first.
  const batch_job older = MakeBatchJob("a1", "usual", 6, millis(6000), 8);
  const batch_job newer = MakeBatchJob("b1", "usual", 6, millis(5000), 8);
  hand_in(older);
  world.RunFor(millis(8000));
  hand_in(newer);
  world.RunFor(millis(500));
  REQUIRE_FALSE(world.check().began(older.id + ".0.0.0").has_value());
  const auto began = [&](const batch_job& job) {
    const auto at = world.check().began(job.id + ".0.0.0");
    REQUIRE(at.has_value());
    return *at;
  };

  SUBCASE("it starts first") {
    world.RunFor(millis(30000));
    CHECK(began(older) < began(newer));
  }
  SUBCASE("also under a new planner") {
    const int planner = world.Planner();
    REQUIRE(planner >= 0);
    world.KillEntry(planner, millis(2000));
    world.RunFor(millis(30000));
    CHECK(began(older) < began(newer));
  }
  RequireKept(world);
}

TEST_CASE("a job starts although the store's feed is behind") {
  batch_world world;
  world.RunFor(millis(5000));
  world.SetFeedDelay(millis(2500));
  const batch_job job = MakeBatchJob("d1", "urgent", 1, millis(500), 1);
  const millis handed_in = world.now();
  world.Submit(job);
  world.RunFor(millis(4000));
  const auto began = world.check().began(job.id + ".0.0.0");
  REQUIRE(began.has_value());
  CHECK(*began - handed_in < millis(500));
}

TEST_CASE("a worker starts again under its id on another VM, and another takes its place") {
  batch_world world;
  world.RunFor(millis(5000));
  constexpr int kLeft = 3;
  constexpr int kTaken = 4;
  world.MoveWorker(kLeft, kTaken);
  world.RunFor(millis(4000));
  const batch_job job = MakeBatchJob("f1", "usual", 30, millis(9000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(1500));
  REQUIRE(world.worker(kTaken).running() > 0);

  SUBCASE("it is cut off when a planner takes over that knows it from the store alone") {
    world.CutAgent(kTaken, true);
    world.KillEntry(world.Planner(), millis(20000));
  }
  world.RunFor(millis(3000));
  CHECK(world.worker(kTaken).running() > 0);
  world.CutAgent(kTaken, false);
  world.RunFor(millis(40000));
  RequireKept(world);
  CHECK(world.check().completed(job.id).has_value());
}

TEST_CASE("the stored row of a worker") {
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  SUBCASE("names the life that it is about") {
    const auto read =
        codec->DecodeWorker(codec->Encode(worker_record{"w1", "a1", "h:1", 77, "vm-1"}));
    REQUIRE(read);
    CHECK(read.value().born_ms == 77);
    CHECK(read.value().address == "h:1");
    CHECK(read.value().vm == "vm-1");
  }
  SUBCASE("of an earlier release is read, and its life is not known") {
    const auto read = codec->DecodeWorker(R"({"id":"w1","agent":"a1","address":"h:1"})");
    REQUIRE(read);
    CHECK(read.value().id == "w1");
    CHECK(read.value().born_ms == 0);
  }
}

}  // namespace
}  // namespace eelgrass
