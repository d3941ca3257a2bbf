#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "kernel/batch/entry_selection.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

std::string Address(int entry) { return "10.0.0." + std::to_string(entry) + ":7000"; }

/** An agent's links to entries that can all be reached, unless they have failed. */
struct linked_agent {
  explicit linked_agent(int entries, std::string id = "agent-1")
      : links(std::move(id), {Address(0)}) {
    notice.term = 5;
    notice.planner = "e1";
    notice.entries.push_back(Address(1));
    for (int i = 2; i <= entries; ++i) notice.entries.push_back(Address(i));
  }

  void PassTime(millis time) {
    for (const millis end = now + time; now < end; now += millis(50)) {
      const link_changes changes = links.Next(now);
      for (const auto& address : changes.dial) dialled.insert(address);
      for (const auto& address : changes.undial) {
        dialled.erase(address);
        links.OnDisconnected(Id(address));
      }
      for (const auto& address : dialled) {
        if (!failed.contains(address)) Connect(address);
      }
    }
  }
  /** A planner names itself to whoever connects. */
  void Connect(const std::string& address) {
    const std::string id = Id(address);
    if (links.connected().contains(id)) return;
    links.OnConnected(id, address);
    if (id == notice.planner) links.OnNotice(notice.planner, notice);
  }
  void Fail(const std::string& address) {
    failed.insert(address);
    links.OnDisconnected(Id(address));
  }
  static std::string Id(const std::string& address) {
    return "e" + address.substr(7, address.find(':') - 7);
  }
  bool Connected(int entry) const {
    return links.connected().contains("e" + std::to_string(entry));
  }

  entry_selection links;
  planner_notice notice;
  std::set<std::string> dialled;
  std::set<std::string> failed;
  millis now{0};
};

TEST_CASE("an agent stays connected to the planner and a few other entries") {
  linked_agent agent(35);
  agent.PassTime(millis(1000));
  CHECK(agent.dialled == std::set<std::string>{Address(0)});
  agent.links.OnNotice(agent.notice.planner, agent.notice);
  agent.PassTime(millis(2000));

  SUBCASE("however many there are") {
    CHECK(agent.Connected(1));
    CHECK(agent.dialled.size() == 13);
    CHECK(agent.links.connected().size() == 13);
  }
  SUBCASE("to all if there are no more") {
    linked_agent small(3);
    small.links.OnNotice(small.notice.planner, small.notice);
    small.PassTime(millis(2000));
    CHECK(small.Connected(1));
    CHECK(small.Connected(2));
    CHECK(small.Connected(3));
  }
  SUBCASE("to others than another agent") {
    linked_agent other(35, "agent-2");
    other.links.OnNotice(other.notice.planner, other.notice);
    other.PassTime(millis(2000));
    CHECK(other.dialled != agent.dialled);
  }
  SUBCASE("and replaces those that fail") {
    const std::set<std::string> before = agent.dialled;
    for (const auto& address : before) {
      if (address != Address(1)) agent.Fail(address);
    }
    agent.PassTime(millis(2000));
    CHECK(agent.links.connected().size() == 13);
    SUBCASE("until they are back") {
      agent.failed.clear();
      agent.PassTime(millis(2000));
      CHECK(agent.dialled == before);
    }
  }
  SUBCASE("and finds the few that are left") {
    for (int entry = 0; entry <= 35; ++entry) {
      if (entry != 20) agent.Fail(Address(entry));
    }
    agent.PassTime(millis(5000));
    CHECK(agent.Connected(20));
  }
  SUBCASE("and dials the first ones again if none is left of those it knows") {
    for (int entry = 1; entry <= 35; ++entry) agent.Fail(Address(entry));
    agent.PassTime(millis(200));
    CHECK(agent.Connected(0));
  }
  SUBCASE("and looks for others that may know the next planner when it is gone for long") {
    const std::set<std::string> before = agent.dialled;
    agent.Fail(Address(1));
    agent.PassTime(millis(1000));
    CHECK(agent.dialled == before);
    agent.PassTime(millis(1000));
    CHECK(agent.dialled.size() == 25);
    agent.PassTime(millis(10000));
    CHECK(agent.dialled.size() >= 35);
    SUBCASE("until it is back") {
      agent.failed.clear();
      agent.PassTime(millis(1000));
      CHECK(agent.dialled == before);
    }
  }
  SUBCASE("and the next planner at once") {
    int next = 2;
    while (agent.Connected(next)) ++next;
    planner_notice notice = agent.notice;
    notice.term = 6;
    notice.planner = "e" + std::to_string(next);
    std::swap(notice.entries[0], notice.entries[static_cast<size_t>(next - 1)]);
    agent.links.OnNotice(notice.planner, notice);
    agent.PassTime(millis(50));
    CHECK(agent.Connected(next));
    SUBCASE("whatever a notice of an earlier term says that comes late") {
      agent.links.OnNotice(agent.notice.planner, agent.notice);
      agent.PassTime(millis(2000));
      CHECK(agent.Connected(next));
    }
  }
}

// Without them an agent that was away while its entries were replaced never found another one.
TEST_CASE("an agent that misses the planner dials entries that no notice names") {
  linked_agent agent(3);
  agent.links.OnNotice(agent.notice.planner, agent.notice);
  agent.PassTime(millis(2000));
  REQUIRE_FALSE(agent.links.planner_missing_since().has_value());
  for (int entry = 0; entry <= 3; ++entry) agent.Fail(Address(entry));

  SUBCASE("the seeds that its settings name by now") {
    agent.PassTime(millis(5000));
    agent.links.SetSeeds({Address(40)});
    agent.PassTime(millis(500));
    CHECK(agent.Connected(40));
    CHECK(agent.links.planner_missing_since().has_value());
    SUBCASE("until a notice of the next planner comes from there") {
      agent.notice.term = 6;
      agent.notice.planner = "e41";
      agent.notice.entries = {Address(41), Address(40)};
      agent.links.OnNotice(agent.notice.planner, agent.notice);
      agent.PassTime(millis(500));
      CHECK(agent.Connected(41));
      CHECK_FALSE(agent.links.planner_missing_since().has_value());
      SUBCASE("and forgets the addresses that nobody names any more") {
        agent.PassTime(millis(59000));
        CHECK(agent.dialled.contains(Address(2)));
        agent.PassTime(millis(3000));
        CHECK(agent.dialled == std::set<std::string>{Address(40), Address(41)});
      }
    }
  }
  SUBCASE("the entries that the store lists, in turn, since many may be gone") {
    std::vector<std::string> listed;
    for (int entry = 100; entry < 200; ++entry) {
      listed.push_back(Address(entry));
      if (entry != 177) agent.Fail(listed.back());
    }
    agent.links.SetListed(listed);
    size_t most = 0;
    while (!agent.Connected(177) && agent.now < millis(40000)) {
      agent.PassTime(millis(250));
      most = std::max(most, agent.dialled.size());
    }
    CHECK(agent.Connected(177));
    CHECK(most <= 4 + 2 * 12);
    SUBCASE("from the first one on when others are listed") {
      agent.Fail(Address(177));
      agent.links.SetListed({Address(300)});
      agent.PassTime(millis(500));
      CHECK(agent.Connected(300));
    }
  }
  SUBCASE("also while an entry is connected that does not hear of a planner") {
    agent.failed.erase(Address(2));
    agent.PassTime(millis(100));
    agent.links.SetListed({Address(50)});
    agent.PassTime(millis(2400));
    CHECK(agent.Connected(2));
    CHECK_FALSE(agent.Connected(50));
    agent.PassTime(millis(2000));
    CHECK(agent.Connected(50));
  }
  SUBCASE("also while the planner has no way to the store, and hands over to nobody") {
    agent.failed.clear();
    agent.PassTime(millis(1000));
    agent.notice.store_lost = true;
    agent.links.OnNotice(agent.notice.planner, agent.notice);
    agent.PassTime(millis(9000));
    CHECK_FALSE(agent.links.planner_missing_since().has_value());
    agent.PassTime(millis(2000));
    CHECK(agent.links.planner_missing_since().has_value());
    agent.links.SetListed({Address(50)});
    agent.PassTime(millis(3000));
    CHECK(agent.Connected(50));
    SUBCASE("until it is served again") {
      agent.notice.store_lost = false;
      agent.links.OnNotice(agent.notice.planner, agent.notice);
      agent.PassTime(millis(100));
      CHECK_FALSE(agent.links.planner_missing_since().has_value());
    }
  }
}

// The agent took the other entry for the planner, and did not look for the planner any more.
TEST_CASE("an agent still misses the planner when another entry has its address") {
  linked_agent agent(3);
  agent.links.OnNotice(agent.notice.planner, agent.notice);
  agent.PassTime(millis(2000));
  for (int entry = 0; entry <= 3; ++entry) agent.Fail(Address(entry));
  agent.links.OnConnected("e9", Address(1));
  agent.PassTime(millis(4000));
  REQUIRE(agent.links.planner_missing_since().has_value());

  SUBCASE("and looks elsewhere") {
    agent.links.SetListed({Address(50)});
    agent.PassTime(millis(1000));
    CHECK(agent.Connected(50));
  }
  SUBCASE("until that entry plans") {
    agent.notice.term = 6;
    agent.notice.planner = "e9";
    agent.links.OnNotice(agent.notice.planner, agent.notice);
    agent.PassTime(millis(100));
    CHECK_FALSE(agent.links.planner_missing_since().has_value());
  }
}

// The agent took the next process for the planner, and did not look for the planner any more.
TEST_CASE("an agent misses the planner until it has said again that it plans") {
  linked_agent agent(3);
  agent.links.OnNotice(agent.notice.planner, agent.notice);
  agent.PassTime(millis(2000));
  REQUIRE_FALSE(agent.links.planner_missing_since().has_value());
  for (int entry = 0; entry <= 3; ++entry) agent.Fail(Address(entry));
  agent.links.OnConnected("e1", Address(1));  // the next process under its id
  agent.PassTime(millis(4000));
  REQUIRE(agent.links.planner_missing_since().has_value());

  SUBCASE("whatever another entry passes on that it has heard before") {
    agent.links.OnConnected("e2", Address(2));
    agent.links.OnNotice("e2", agent.notice);
    agent.PassTime(millis(1000));
    CHECK(agent.links.planner_missing_since().has_value());
  }
  SUBCASE("which it does if it plans") {
    agent.notice.term = 6;
    agent.links.OnNotice("e1", agent.notice);
    agent.PassTime(millis(100));
    CHECK_FALSE(agent.links.planner_missing_since().has_value());
  }
  SUBCASE("or until an order proves it, if its notice was lost") {
    agent.links.OnOrder("e1", agent.notice.term - 1);
    agent.PassTime(millis(100));
    CHECK(agent.links.planner_missing_since().has_value());
    agent.links.OnOrder("e1", agent.notice.term);
    agent.PassTime(millis(100));
    CHECK_FALSE(agent.links.planner_missing_since().has_value());
  }
}

TEST_CASE("agents that know a few of many entries find each next planner") {
  batch_world_options options;
  options.entries = 20;
  options.workers = 8;
  batch_world world(options);
  world.RunFor(millis(5000));
  for (int change = 0; change < 4; ++change) {
    CAPTURE(change);
    REQUIRE(world.Planner() >= 0);
    const batch_job before =
        MakeBatchJob("c" + std::to_string(change), "usual", 40, millis(2500), 1);
    world.Submit(before);
    world.Watch(before.id);
    world.RunFor(millis(500));
    world.KillEntry(world.Planner(), millis(30000));
    world.RunFor(millis(1500));
    const batch_job job = MakeBatchJob("d" + std::to_string(change), "urgent", 2, millis(500), 1);
    const millis handed_in = world.now();
    world.Submit(job);
    world.Watch(job.id);
    world.RunFor(millis(3000));
    const auto began = world.check().began(job.id + ".0.0.0");
    REQUIRE(began.has_value());
    CHECK(*began - handed_in < millis(500));
  }
  CHECK(world.check().ends(run_end::kLapsed) == 0);
  world.RunFor(millis(30000));
  RequireKept(world);
}

}  // namespace
}  // namespace eelgrass
