#include <doctest/doctest.h>

#include "kernel/config/change_book.h"
#include "kernel/records/record_table.h"
#include "tests/world/fake_store.h"

namespace eelgrass {
namespace {

/** A table with its store, driven by hand. */
class table_rig {
 public:
  explicit table_rig(int lost_percent = 0) : store(events, 5), table(1000, millis(500)) {
    store.SetLostPercent(lost_percent);
  }

  void Run(millis time) {
    const millis until = events.now() + time;
    while (events.now() < until) {
      std::vector<store_call> calls;
      table.Due(events.now(), calls);
      for (const auto& call : calls) {
        store.Submit(call, [this](const store_answer& answer) {
          table.OnAnswer(answer, events.now(), seen);
        });
      }
      events.RunUntil(events.now() + millis(10));
    }
  }

  int Count(table_event::kind what) const {
    int count = 0;
    for (const auto& event : seen) count += event.what == what ? 1 : 0;
    return count;
  }

  timeline events;
  fake_store store;
  record_table table;
  std::vector<table_event> seen;
};

job_row Row(const std::string& id, job_state state = job_state::kQueued) {
  job_row row;
  row.id = id;
  row.state = state;
  return row;
}

TEST_CASE("a row that is written") {
  SUBCASE("once is stored once") {
    table_rig rig;
    rig.table.Want(Row("a"), write_rank::kFirst);
    rig.Run(millis(200));
    CHECK(rig.Count(table_event::kind::kWritten) == 1);
    CHECK(rig.store.rows().size() == 1);
  }
  SUBCASE("while all answers are lost counts as written when the store answers again") {
    table_rig rig(100);
    rig.table.Want(Row("a"), write_rank::kFirst);
    rig.Run(millis(9000));
    CHECK(rig.Count(table_event::kind::kWritten) == 0);
    CHECK(rig.store.rows().size() == 1);
    rig.store.SetLostPercent(0);
    rig.Run(millis(4000));
    CHECK(rig.Count(table_event::kind::kWritten) == 1);
    CHECK(rig.Count(table_event::kind::kConflict) == 0);
  }
  SUBCASE("again while the first write's outcome is unknown ends with the second") {
    table_rig rig(100);
    rig.table.Want(Row("a"), write_rank::kFirst);
    rig.Run(millis(100));
    rig.table.Want(Row("a", job_state::kCancelled), write_rank::kFirst);
    rig.Run(millis(3000));
    rig.store.SetLostPercent(0);
    rig.Run(millis(6000));
    CHECK(!rig.table.Busy("jobs/a"));
    const auto& stored = std::get<job_row>(rig.store.rows().at("jobs/a").value);
    CHECK(stored.state == job_state::kCancelled);
  }
  SUBCASE("after somebody else changed it loses, and shows the other's row") {
    table_rig rig;
    table_rig& other = rig;
    rig.table.Want(Row("a"), write_rank::kFirst);
    rig.Run(millis(200));
    job_row foreign = Row("a");
    foreign.cancel_wanted = true;
    const int64_t revision = rig.table.Find("jobs/a")->revision;
    other.store.Submit({99, write_records{{{revision, foreign}}}}, [](const store_answer&) {});
    rig.events.RunUntil(rig.events.now() + millis(5));
    rig.table.Want(Row("a", job_state::kStarting), write_rank::kFirst);
    rig.Run(millis(200));
    REQUIRE(rig.Count(table_event::kind::kConflict) == 1);
    CHECK(std::get<job_row>(rig.seen.back().value).cancel_wanted);
  }
}

TEST_CASE("many rows that can wait share transactions") {
  table_rig rig;
  for (int i = 0; i < 100; ++i) rig.table.Want(Row("j" + std::to_string(i)), write_rank::kBulk);
  rig.Run(millis(2000));
  CHECK(rig.Count(table_event::kind::kWritten) == 100);
  CHECK(rig.store.writes() <= 10);

  SUBCASE("and one that conflicts does not hold up the others") {
    const int64_t revision = rig.table.Find("jobs/j3")->revision;
    rig.store.Submit({99, write_records{{{revision, Row("j3", job_state::kParked)}}}},
                     [](const store_answer&) {});
    rig.events.RunUntil(rig.events.now() + millis(5));
    for (int i = 0; i < 10; ++i) {
      rig.table.Want(Row("j" + std::to_string(i), job_state::kCancelled), write_rank::kBulk);
    }
    rig.Run(millis(2000));
    CHECK(rig.Count(table_event::kind::kConflict) == 1);
    CHECK(rig.Count(table_event::kind::kWritten) == 109);
  }
}

TEST_CASE("a store that is down") {
  table_rig rig;
  rig.Run(millis(600));
  CHECK(rig.table.loaded());
  rig.store.SetDown(true);
  rig.Run(millis(6000));

  SUBCASE("is noticed, and calls in flight stay few") {
    CHECK(rig.table.store_down());
    for (int i = 0; i < 500; ++i) rig.table.Want(Row("j" + std::to_string(i)), write_rank::kFirst);
    rig.Run(millis(1900));
    CHECK(rig.store.writes() <= 30);
  }
  SUBCASE("and comes back is noticed, too") {
    rig.store.SetDown(false);
    rig.Run(millis(3000));
    CHECK(!rig.table.store_down());
  }
}

}  // namespace
}  // namespace eelgrass
