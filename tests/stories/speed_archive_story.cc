#include <doctest/doctest.h>

#include <cmath>
#include <string>

#include "kernel/learning/speed_archive.h"
#include "standins/standin_rows.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr millis kStoreAhead{1000000000};  // of the planners' clocks

std::string VmName(int index) { return "vm-" + std::to_string(1000 + index); }

/** A planner's part that measures and keeps speeds. */
struct archive_planner {
  const batch_record_codec& codec;
  worker_speeds speeds;
  speed_archive archive{codec, kDefaultRowBytes};
  store_clock clock;

  archive_planner(const batch_record_codec& records, int64_t term, millis now) : codec(records) {
    clock.Update(now + kStoreAhead, now);
    archive.BeginTerm(term, now);
  }
  /** Gangs of eight run on VMs, of which each third takes `factor` times as long as the others. */
  void Measure(int vms, double factor, millis now) {
    for (int gang = 0; gang < vms * 2; ++gang) {
      for (int member = 0; member < 8; ++member) {
        const int vm = (gang * 5 + member) % vms;
        const double rate = vm % 3 == 0 ? 20 / factor : 20;
        const std::string group = std::to_string(now.count()) + "-" + std::to_string(gang);
        speeds.rates().Observe({VmName(vm), group, std::to_string(member), rate, 0.05}, now);
      }
    }
    speeds.Update(now);
  }
  worker_speed SpeedOf(int vm, millis now) {
    speeds.Update(now);
    worker_profile worker;
    worker.vm = VmName(vm);
    return speeds.SpeedOf(worker);
  }
  std::optional<store_request> Call(millis now) { return archive.Next(speeds, clock, now); }
  void Answer(const store_request& call, store_reply reply, millis now) {
    reply.token = call.token;
    std::visit([&](auto& answer) { answer.store_now = now + kStoreAhead; }, reply.answer);
    archive.On(reply, speeds, clock, now);
  }
  void Fail(const store_request& call, millis now) {
    transaction_result unknown;
    rows_result unread;
    const bool write = std::holds_alternative<row_transaction>(call.call);
    write ? Answer(call, {0, unknown}, now) : Answer(call, {0, unread}, now);
  }
  /** Carries out the calls that are due; returns the number of writes. */
  int Exchange(standin_rows& rows, millis now) {
    int writes = 0;
    while (const auto call = Call(now)) {
      if (const auto* range = std::get_if<row_range>(&call->call)) {
        Answer(*call, {0, rows.Read(*range)}, now);
      } else {
        ++writes;
        Answer(*call, {0, rows.Apply(std::get<row_transaction>(call->call))}, now);
      }
    }
    return writes;
  }
};

void Put(standin_rows& rows, std::string_view key, std::string_view value) {
  row_transaction change;
  change.writes.push_back({{std::string(kSpeedsTable), "", std::string(key)}, std::string(value)});
  REQUIRE(rows.Apply(change).outcome == row_outcome::kDone);
}

std::vector<row> Stored(const standin_rows& rows) {
  return rows.Read(row_range{std::string(kSpeedsTable), "", ""}).rows;
}

TEST_CASE("known speeds outlast the planner that has measured them") {
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  standin_rows rows;
  const millis start(100000);
  archive_planner first(*codec, 1, start);
  REQUIRE(first.Exchange(rows, start) == 0);

  SUBCASE("homogeneous workers: nothing is written") {
    first.Measure(24, 1.05, start + millis(11000));
    REQUIRE(first.speeds.known() == 24);
    CHECK(first.Exchange(rows, start + millis(11000)) == 0);
    CHECK(Stored(rows).empty());
  }
  SUBCASE("1,033 VMs fit into five rows, which are written in one call") {
    first.Measure(1033, 1.6, start + millis(11000));
    REQUIRE(first.speeds.known() == 1033);
    CHECK(first.Exchange(rows, start + millis(11000)) == 1);
    const auto stored = Stored(rows);
    CHECK(stored.size() == 5);
    for (const auto& row : stored) CHECK(row.value.size() < 20000);
  }
  SUBCASE("the speeds of two groups of workers are written") {
    millis now = start + millis(11000);
    first.Measure(24, 1.6, now);
    const double measured = first.SpeedOf(0, now).slowdown;
    REQUIRE(measured > 1.4);
    REQUIRE(first.Exchange(rows, now) == 1);
    const int64_t revision = Stored(rows).front().revision;

    SUBCASE("once: as long as they stay, and at most every 10 s if they change") {
      first.Measure(24, 1.65, now + millis(10000));
      CHECK(first.Exchange(rows, now + millis(10000)) == 0);
      first.Measure(24, 2.4, now + millis(15000));
      CHECK(first.Exchange(rows, now + millis(15000)) == 0);
      CHECK(first.Exchange(rows, now + millis(20000)) == 1);
    }
    SUBCASE("again before the stored measurements are too old to be of use") {
      first.Measure(24, 1.6, now + millis(310000));
      CHECK(first.Exchange(rows, now + millis(310000)) == 1);
    }
    SUBCASE("the next planner begins with them") {
      archive_planner second(*codec, 2, now + millis(5000));
      second.Exchange(rows, now + millis(5000));
      const worker_speed speed = second.SpeedOf(0, now + millis(5000));
      CHECK(speed.known);
      CHECK(speed.slowdown == doctest::Approx(measured).epsilon(0.1));
      SUBCASE("and does not write them back as its own") {
        CHECK(second.speeds.Measured().empty());
        CHECK(second.Exchange(rows, now + millis(400000)) == 0);
        CHECK(Stored(rows).front().revision == revision);
      }
      SUBCASE("until ten minutes after their measurement") {
        CHECK(second.SpeedOf(0, now + millis(599000)).known);
        CHECK_FALSE(second.SpeedOf(0, now + millis(601000)).known);
      }
      SUBCASE("and a VM that comes back at the usual speed soon has that") {
        now += millis(8000);
        for (int vm = 0; vm < 8; ++vm) {
          const double rate = vm % 3 == 0 && vm != 0 ? 12.5 : 20;
          second.speeds.rates().Observe({VmName(vm), "step", "run", rate, 0.15}, now);
        }
        CHECK(second.SpeedOf(0, now).slowdown < 1.1);
        CHECK(second.SpeedOf(3, now).slowdown > 1.4);
      }
    }
    SUBCASE("a planner that starts an hour later disregards them") {
      archive_planner late(*codec, 3, now + millis(3600000));
      late.Exchange(rows, now + millis(3600000));
      CHECK_FALSE(late.SpeedOf(0, now + millis(3600000)).known);
    }
    SUBCASE("the planner is replaced while a write is in flight: the newer measurement wins") {
      now += millis(10000);
      first.Measure(24, 2.4, now);
      const auto in_flight = first.Call(now);
      REQUIRE(in_flight);
      archive_planner second(*codec, 2, now);
      second.Exchange(rows, now);
      const auto& late_change = std::get<row_transaction>(in_flight->call);
      REQUIRE(rows.Apply(late_change).outcome == row_outcome::kDone);
      const auto conflict = [&](millis measured) {
        second.Measure(6, 1.2, measured);  // six of the VMs, at other speeds
        const auto call = second.Call(now + millis(11000));
        REQUIRE(call);
        const auto refused = rows.Apply(std::get<row_transaction>(call->call));
        REQUIRE(refused.outcome == row_outcome::kConflict);
        second.Answer(*call, {0, refused}, now + millis(11000));
        CHECK(second.Exchange(rows, now + millis(12000)) == 0);
      };
      const auto stored = [&](size_t vm) {
        return codec->DecodeSpeeds(Stored(rows).front().value).value().vms.at(vm).slowness;
      };
      SUBCASE("that of the first one") {
        conflict(now - millis(1000));
        CHECK(second.Exchange(rows, now + millis(21000)) == 0);
        CHECK(stored(3) == doctest::Approx(std::log(2.4)).epsilon(0.15));
      }
      SUBCASE("that of the second one, and the first one's of all other VMs") {
        conflict(now + millis(11000));
        CHECK(second.Exchange(rows, now + millis(21000)) == 1);
        CHECK(stored(3) < std::log(1.4));
        CHECK(stored(9) == doctest::Approx(std::log(2.4)).epsilon(0.15));
      }
      SUBCASE("and an answer to the first one in a later term of its own is disregarded") {
        first.archive.BeginTerm(3, now + millis(30000));
        transaction_result done;
        done.outcome = row_outcome::kDone;
        first.Answer(*in_flight, {0, done}, now);
        CHECK(std::holds_alternative<row_range>(first.Call(now + millis(30000))->call));
      }
    }
    SUBCASE("an answer is lost: the next write meets its own row, and nothing more is due") {
      now += millis(10000);
      first.Measure(24, 2.4, now);
      const auto lost = first.Call(now);
      REQUIRE(rows.Apply(std::get<row_transaction>(lost->call)).outcome == row_outcome::kDone);
      first.Fail(*lost, now + millis(900));
      CHECK_FALSE(first.Call(now + millis(9000)));
      CHECK(first.Exchange(rows, now + millis(10000)) == 1);
      CHECK(first.Exchange(rows, now + millis(20000)) == 0);
      first.Measure(24, 1.6, now + millis(30000));
      CHECK(first.Exchange(rows, now + millis(30000)) == 1);
      CHECK(Stored(rows).front().revision > revision);
    }
  }
}

TEST_CASE("rows of speeds that are of no use are ignored, and rewritten when due") {
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  standin_rows rows;
  const millis now(100000);
  const std::string time = std::to_string((now + kStoreAhead).count());
  const auto text = [](const std::string& speed) { return "{\"speeds\":[[" + speed + "]]}"; };
  std::string key = "0";
  std::string value;
  SUBCASE("not readable") { value = "\x01{"; }
  SUBCASE("of another writer") { value = R"({"vms":["vm-1000"]})"; }
  SUBCASE("a list that is not a speed") { value = text(R"("vm-1000",0.5,0.05)"); }
  SUBCASE("a text for a number") { value = text(R"("vm-1000","0.5",0.05,)" + time); }
  SUBCASE("a truth value for a number") { value = text(R"("vm-1000",true,0.05,)" + time); }
  SUBCASE("a number beyond all bounds") { value = text(R"("vm-1000",1e999,0.05,)" + time); }
  SUBCASE("a slowness out of range") { value = text(R"("vm-1000",-3.1,0.05,)" + time); }
  SUBCASE("a deviation out of range") { value = text(R"("vm-1000",0.5,-0.1,)" + time); }
  SUBCASE("a time in the future") { value = text(R"("vm-1000",0.5,0.05,)" + time + "0"); }
  SUBCASE("a key that is not one of the archive") {
    key = "00";
    value = text(R"("vm-1000",0.5,0.05,)" + time);
  }
  Put(rows, key, value);
  archive_planner planner(*codec, 1, now);
  CHECK(planner.Exchange(rows, now) == 0);
  CHECK(planner.archive.ignored_rows() == 1);
  CHECK_FALSE(planner.SpeedOf(0, now).known);
  planner.Measure(24, 1.6, now + millis(11000));
  CHECK(planner.Exchange(rows, now + millis(11000)) == 1);
  CHECK(codec->DecodeSpeeds(Stored(rows).front().value).value().vms.size() == 24);
}

TEST_CASE("the store does not answer a planner that reads the speeds") {
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  const millis now(100000);
  archive_planner planner(*codec, 1, now);
  const auto read = planner.Call(now);
  REQUIRE(read);
  CHECK(read->token <= kFirstArchiveToken);
  SUBCASE("the call fails: the next one follows after 10 s") {
    planner.Fail(*read, now + millis(900));
  }
  SUBCASE("there is not even an answer: the same") {}
  planner.Measure(24, 1.6, now + millis(1000));
  CHECK(planner.SpeedOf(0, now + millis(1000)).known);
  CHECK_FALSE(planner.Call(now + millis(9000)));
  const auto next = planner.Call(now + millis(10000));
  REQUIRE(next);
  CHECK(std::holds_alternative<row_range>(next->call));
}

TEST_CASE("a planner that takes over knows the speeds that the one before has stored") {
  batch_world world;
  const auto codec = std::move(record_codec_registry::Instance().Create("json").value());
  const auto known = [&] {
    return world.Planner() < 0 ? -1 : world.PlannerStats(world.Planner()).known_speeds;
  };
  world.RunFor(millis(5000));
  CHECK(known() == 0);
  // The world's workers list no progress, so that the row is that of a planner of real ones.
  const millis store_now = world.now() + kStoreClockAhead;
  speeds_record record;
  for (int i = 0; i < 6; ++i) {
    record.vms.push_back(
        {"vm-" + std::to_string(i), i % 3 == 0 ? 0.47 : 0, 0.05, store_now.count()});
  }
  Put(world.rows(), "0", codec->Encode(record));
  const batch_job job = MakeBatchJob("c1", "usual", 20, millis(9000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.KillEntry(world.Planner(), millis(20000));
  world.RunFor(millis(5000));
  CHECK(known() == 6);
  world.RunFor(millis(20000));
  RequireKept(world);
}

}  // namespace
}  // namespace eelgrass
