#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "kernel/batch/entry_discovery.h"
#include "standins/standin_rows.h"

namespace eelgrass {
namespace {

constexpr millis kStep{50};
constexpr millis kInterval{30000};  // the longest one between two readings
constexpr millis kMinute{60000};

std::string AddressOf(std::string_view id) { return std::string(id) + ":7000"; }

void Register(standin_rows& table, std::string_view id) {
  row_transaction change;
  change.writes.push_back({{std::string(kEntriesTable), "", std::string(id)}, AddressOf(id)});
  table.Apply(change);
}

void Remove(standin_rows& table, std::string_view id) {
  row_transaction change;
  change.removals.push_back({std::string(kEntriesTable), "", std::string(id)});
  table.Apply(change);
}

bool Listed(const standin_rows& table, std::string_view id) {
  const auto rows = table.Read(row_range{std::string(kEntriesTable), "", ""}).rows;
  return std::any_of(rows.begin(), rows.end(),
                     [id](const row& found) { return found.at.key == id; });
}

/** An entry that keeps its row in a table, with connections to the entries that can be reached. */
struct listed_entry_world {
  explicit listed_entry_world(std::string node)
      : id(std::move(node)), discovery(id, AddressOf(id)) {}

  void PassTime(millis time) {
    for (const millis end = now + time; now < end; now += kStep) {
      if (const auto call = discovery.NextCall(planning, now)) Answer(*call);
      const link_changes changes = discovery.NextLinks(now);
      for (const auto& address : changes.dial) dialled.insert(address);
      for (const auto& address : changes.undial) dialled.erase(address);
      for (const auto& other : reachable) {
        if (dialled.contains(AddressOf(other))) discovery.OnConnected(other);
      }
    }
  }

  void Lose(const std::string& other) {
    reachable.erase(other);
    discovery.OnDisconnected(other);
  }

 private:
  void Answer(const store_request& call) {
    ++calls;
    store_reply reply;
    if (const auto* range = std::get_if<row_range>(&call.call)) {
      rows_result answer = serves ? table.Read(*range) : rows_result{};
      reply.answer = std::move(answer);
    } else {
      const auto& change = std::get<row_transaction>(call.call);
      reply.answer = serves ? table.Apply(change) : transaction_result{};
    }
    discovery.On(reply, now);
  }

 public:
  const std::string id;
  entry_discovery discovery;
  standin_rows table;
  std::set<std::string> reachable;
  std::set<std::string> dialled;
  bool serves = true;  // the store
  bool planning = false;
  int calls = 0;
  millis now{0};
};

TEST_CASE("an entry keeps its row and stays connected to the entries that are listed") {
  listed_entry_world entry("e1");
  entry.reachable = {"e2", "e3"};
  Register(entry.table, "e2");
  entry.PassTime(millis(1000));
  REQUIRE(Listed(entry.table, "e1"));
  REQUIRE(entry.dialled == std::set<std::string>{AddressOf("e2")});
  REQUIRE(entry.calls == 2);

  SUBCASE("also to one whose row came after it had read the table") {
    Register(entry.table, "e3");
    entry.PassTime(kInterval);
    CHECK(entry.dialled == std::set<std::string>{AddressOf("e2"), AddressOf("e3")});
  }
  SUBCASE("and writes its row again if it has vanished") {
    Remove(entry.table, "e1");
    entry.PassTime(kInterval);
    CHECK(Listed(entry.table, "e1"));
  }
  SUBCASE("and gives up the address of one that is not listed any more") {
    entry.Lose("e2");
    Remove(entry.table, "e2");
    entry.PassTime(kInterval);
    CHECK(entry.dialled.empty());
  }
  SUBCASE("but not of one that is connected, whoever has removed its row") {
    Remove(entry.table, "e2");
    entry.PassTime(kInterval);
    CHECK(entry.dialled == std::set<std::string>{AddressOf("e2")});
  }
  SUBCASE("with few calls while the store does not answer") {
    entry.PassTime(kInterval);
    entry.serves = false;
    const int before = entry.calls;
    entry.PassTime(millis(120000));
    CHECK(entry.calls - before <= 120 / 5 + 1);
    entry.serves = true;
    Register(entry.table, "e3");
    entry.PassTime(millis(5100));
    CHECK(entry.dialled.contains(AddressOf("e3")));
  }
}

// Rows were never removed, and an entry dialled all of them for ever.
TEST_CASE("the planner removes the rows of entries that are gone") {
  listed_entry_world entry("e1");
  entry.planning = true;
  entry.reachable = {"e2"};
  for (int i = 0; i < 600; ++i) Register(entry.table, "gone-" + std::to_string(i));
  Register(entry.table, "e2");
  entry.PassTime(millis(100000));
  REQUIRE(Listed(entry.table, "gone-0"));
  REQUIRE(entry.dialled.contains(AddressOf("e2")));
  CHECK(entry.dialled.size() <= 65);

  SUBCASE("after many readings, some at a time") {
    entry.PassTime(kMinute * 30);
    CHECK_FALSE(Listed(entry.table, "gone-0"));
    CHECK_FALSE(Listed(entry.table, "gone-599"));
    CHECK(Listed(entry.table, "e1"));
    CHECK(Listed(entry.table, "e2"));
    CHECK(entry.dialled == std::set<std::string>{AddressOf("e2")});
  }
  SUBCASE("not the row of one that is out of reach for some minutes") {
    entry.Lose("e2");
    entry.PassTime(kMinute * 5);
    CHECK(Listed(entry.table, "e2"));
    entry.reachable = {"e2"};
    entry.PassTime(kMinute);
    entry.Lose("e2");
    entry.PassTime(kMinute * 5);
    CHECK(Listed(entry.table, "e2"));
  }
  SUBCASE("not the row of one that has written it again") {
    entry.Lose("e2");
    for (int i = 0; i < 4; ++i) {
      entry.PassTime(kMinute * 5);
      Register(entry.table, "e2");
    }
    CHECK(Listed(entry.table, "e2"));
  }
  SUBCASE("not the row of one that has connected since") {
    entry.planning = false;
    entry.Lose("e2");
    entry.PassTime(kMinute * 12);
    entry.reachable = {"e2"};
    entry.PassTime(millis(500));
    entry.planning = true;
    entry.PassTime(kInterval);
    CHECK(Listed(entry.table, "e2"));
  }
  SUBCASE("not because it was suspended itself") {
    entry.Lose("e2");
    entry.now += kMinute * 60;
    entry.PassTime(kMinute);
    CHECK(Listed(entry.table, "e2"));
  }
  SUBCASE("while other entries remove nothing") {
    entry.planning = false;
    entry.PassTime(kMinute * 30);
    CHECK(Listed(entry.table, "gone-0"));
  }
}

}  // namespace
}  // namespace eelgrass
