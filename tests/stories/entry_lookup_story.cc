#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "kernel/batch/entry_lookup.h"
#include "standins/standin_rows.h"

namespace eelgrass {
namespace {

constexpr millis kStep{10};
constexpr millis kAnswerTime{20};

/** An agent that looks for entries in a table, on a clock of its own. */
struct looking_agent {
  explicit looking_agent(std::string id) : lookup(std::move(id)) {}

  void PassTime(millis time) {
    for (const millis end = now + time; now < end; now += kStep) {
      lookup.Update(missing_since, now);
      if (lookup.NextReload(now)) reloads.push_back(now);
      if (pending && now >= answer_at) {
        const row_range range = *pending;
        pending.reset();
        rows_result answer = table == nullptr ? rows_result{} : table->Read(range);
        if (table == nullptr) answer.outcome = outcome;
        if (const auto found = lookup.On(answer, now)) listed = *found;
      }
      if (const auto call = lookup.NextCall(now)) {
        calls.push_back(now);
        pending = std::get<row_range>(call->call);
        answer_at = now + kAnswerTime;
      }
    }
  }

  entry_lookup lookup;
  millis now{0};
  std::optional<millis> missing_since;
  const standin_rows* table = nullptr;  // none: the store fails
  row_outcome outcome = row_outcome::kUnknown;
  std::optional<row_range> pending;
  millis answer_at{0};
  std::vector<millis> calls;
  std::vector<millis> reloads;
  std::vector<std::string> listed;
};

void Register(standin_rows& table, int entry) {
  row_transaction change;
  const std::string number = std::to_string(entry);
  change.writes.push_back({{std::string(kEntriesTable), "", "e" + number}, "10.0.0.1:" + number});
  table.Apply(change);
}

TEST_CASE("an agent looks for entries while it misses the planner") {
  standin_rows table;
  for (int entry = 1; entry <= 3; ++entry) Register(table, entry);
  looking_agent agent("agent-1");
  agent.table = &table;
  agent.PassTime(millis(60000));
  CHECK(agent.calls.empty());
  CHECK(agent.reloads.empty());

  SUBCASE("not when another entry takes over in the usual time") {
    agent.missing_since = agent.now;
    agent.PassTime(millis(1400));
    agent.missing_since.reset();
    agent.PassTime(millis(10000));
    CHECK(agent.calls.empty());
    CHECK(agent.reloads.empty());
  }
  SUBCASE("in the store, where the entry that registered last comes first") {
    agent.missing_since = agent.now;
    agent.PassTime(millis(3600));
    CHECK(agent.listed == std::vector<std::string>{"10.0.0.1:3", "10.0.0.1:2", "10.0.0.1:1"});
    SUBCASE("and again, less and less often, for as long as it misses the planner") {
      agent.PassTime(millis(120000));
      const auto count = agent.calls.size();
      CHECK(count >= 120 / 8);
      CHECK(count <= 120 / 4 + 4);
      agent.missing_since.reset();
      agent.PassTime(millis(60000));
      CHECK(agent.calls.size() == count);
    }
    SUBCASE("and as early as the first time when it misses the planner again") {
      agent.missing_since.reset();
      agent.PassTime(millis(30000));
      const auto count = agent.calls.size();
      agent.missing_since = agent.now;
      agent.PassTime(millis(3600));
      CHECK(agent.calls.size() > count);
    }
  }
  SUBCASE("in its settings, whatever the store answers") {
    agent.table = nullptr;
    SUBCASE("no answer") { agent.outcome = row_outcome::kUnknown; }
    SUBCASE("that it refuses the call") { agent.outcome = row_outcome::kNotDone; }
    agent.missing_since = agent.now;
    agent.PassTime(millis(20000));
    CHECK(agent.reloads.size() >= 9);
    CHECK(agent.lookup.failed() >= 3);
    CHECK(agent.listed.empty());
    SUBCASE("and in the store once it answers") {
      agent.table = &table;
      agent.PassTime(millis(8100));
      CHECK(agent.listed.size() == 3);
    }
  }
}

// The store's answers hold 500 rows: entries behind these were never found.
TEST_CASE("an agent reads all entries of a table that takes several answers") {
  standin_rows table;
  for (int entry = 0; entry < 1200; ++entry) Register(table, 1000 + entry);
  looking_agent agent("agent-1");
  agent.table = &table;
  agent.missing_since = millis(0);
  while (agent.listed.empty() && agent.now < millis(4000)) agent.PassTime(kStep);
  CHECK(agent.listed.size() == 1200);
  CHECK(agent.listed.front() == "10.0.0.1:2199");
  CHECK(agent.calls.size() == 3);
  CHECK(agent.lookup.completed() == 1);

  SUBCASE("from the first row on if an answer between them fails") {
    agent.calls.clear();
    while (agent.calls.size() < 2) agent.PassTime(kStep);
    agent.table = nullptr;
    agent.PassTime(millis(100));
    agent.table = &table;
    CHECK(agent.lookup.failed() == 1);
    agent.listed.clear();
    agent.PassTime(millis(8100));
    CHECK(agent.lookup.failed() == 1);
    CHECK(agent.listed.size() == 1200);
  }
}

// The store takes 2,000 readings a second from all processes of a small deployment.
TEST_CASE("a thousand agents that miss the planner at once spread their readings") {
  constexpr int kAgents = 1000;
  standin_rows table;
  Register(table, 1);
  std::map<int64_t, int> calls;  // by second
  for (int i = 0; i < kAgents; ++i) {
    looking_agent agent("side-" + std::to_string(i));
    agent.table = &table;
    agent.missing_since = millis(0);
    agent.PassTime(millis(60000));
    for (const millis at : agent.calls) ++calls[at.count() / 1000];
  }
  const auto busiest = std::max_element(
      calls.begin(), calls.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
  CAPTURE(busiest->first);
  CHECK(busiest->second <= 1000);
  int steady = 0;
  for (int64_t second = 20; second < 60; ++second) steady = std::max(steady, calls[second]);
  CHECK(steady <= 400);
}

}  // namespace
}  // namespace eelgrass
