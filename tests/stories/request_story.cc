#include <doctest/doctest.h>

#include <algorithm>

#include "tests/world/request_world.h"

namespace eelgrass {
namespace {

void CheckNothingWrong(const request_world& world) {
  const request_findings found = world.Findings();
  CHECK(found.lost == 0);
  CHECK(found.doubled == 0);
  CHECK(found.false_not_run == 0);
  CHECK(found.crossed == 0);
  CHECK(found.over_slots == 0);
}

int CountOpen(const request_world& world) {
  return static_cast<int>(std::count_if(world.calls().begin(), world.calls().end(),
                                        [](const auto& call) { return !call.done; }));
}

millis WorstLatency(const request_world& world) {
  millis worst{0};
  for (const auto& call : world.calls()) worst = std::max(worst, call.latency());
  return worst;
}

TEST_CASE("a caller's request") {
  uint64_t seed = 0;
  SUBCASE("with seed 1") { seed = 1; }
  SUBCASE("with seed 2") { seed = 2; }
  SUBCASE("with seed 3") { seed = 3; }
  CAPTURE(seed);
  request_world world({seed});

  SUBCASE("on a quiet day") {
    world.Load(500, millis(5000), {1, 1, 1}, 50, 50);
    world.Run(millis(12000));
    CHECK(CountOpen(world) == 0);
    CHECK(world.CountOutcome("completed") == static_cast<int>(world.calls().size()));
    CheckNothingWrong(world);
  }

  SUBCASE("when a connection goes silent while new ones work") {
    SUBCASE("idempotent requests lose at most two seconds") {
      world.Load(200, millis(3000), {1, 1, 1}, 100, 0);
      world.events().After(millis(1000), [&] {
        for (int u = 1; u <= 10; ++u) world.network().SilenceLane("e1", "u" + std::to_string(u));
      });
      world.Run(millis(12000));
      CHECK(world.CountOutcome("completed") == static_cast<int>(world.calls().size()));
      CHECK(WorstLatency(world) <= millis(2000));
    }
    SUBCASE("other requests keep their answers, too, while the agent lives") {
      world.Load(200, millis(3000), {1, 1, 1}, 0, 0);
      world.events().After(millis(1000), [&] { world.network().SilenceLane("e1", "u3"); });
      world.Run(millis(12000));
      CHECK(world.CountOutcome("completed") == static_cast<int>(world.calls().size()));
    }
    CHECK(CountOpen(world) == 0);
    CheckNothingWrong(world);
  }

  SUBCASE("when an upstream's agent dies with it") {
    world.Load(300, millis(4000), {1, 1, 1}, 50, 50);
    world.events().After(millis(2000), [&] { world.KillAgent("u2", true); });
    world.events().After(millis(6000), [&] { world.StartAgent("u2"); });
    world.Run(millis(20000));
    CHECK(CountOpen(world) == 0);
    for (const auto& call : world.calls()) {
      const bool honest = call.told.outcome != "unknown" || !call.told.idempotent;
      CHECK_MESSAGE(honest, call.reason);
    }
    CheckNothingWrong(world);
  }

  SUBCASE("when an agent is paused and its late answers come crossed") {
    world.network().SetCrossing(true);
    world.Load(300, millis(4000), {1, 1, 1}, 40, 50);
    world.events().After(millis(1000), [&] { world.Pause("u4"); });
    world.events().After(millis(5000), [&] { world.Resume("u4"); });
    world.Run(millis(25000));
    CHECK(CountOpen(world) == 0);
    CheckNothingWrong(world);
  }

  SUBCASE("when an entry and an agent cannot reach each other") {
    world.Load(300, millis(4000), {1, 1, 1}, 40, 50);
    world.events().After(millis(1000), [&] { world.network().Cut("e1", "u5"); });
    world.events().After(millis(4500), [&] { world.network().Heal("e1", "u5"); });
    world.Run(millis(25000));
    CHECK(CountOpen(world) == 0);
    CheckNothingWrong(world);
  }

  SUBCASE("when an upstream takes requests and loses the answers") {
    world.SetUpstream("u1", false, true, millis(0));
    world.Load(200, millis(4000), {1, 1, 1}, 50, 50);
    world.Run(millis(20000));
    CHECK(CountOpen(world) == 0);
    CheckNothingWrong(world);
  }

  SUBCASE("when an upstream is leaving") {
    world.Load(300, millis(4000), {1, 1, 1}, 50, 50);
    world.events().After(millis(2000), [&] { world.Drain("u6"); });
    world.Run(millis(2200));
    const int64_t started = world.agent("u6").stats().started;
    world.Run(millis(10000));
    CHECK(world.agent("u6").stats().started == started);
    CHECK(world.Drained("u6"));
    CHECK(world.CountOutcome("unknown") == 0);
    CheckNothingWrong(world);
  }

  SUBCASE("when its entry is leaving, nothing is cut") {
    world.Load(300, millis(4000), {1, 1, 1}, 50, 50);
    world.events().After(millis(2000), [&] { world.Drain("e1"); });
    world.Run(millis(12000));
    CHECK(world.Drained("e1"));
    CHECK(CountOpen(world) == 0);
    CHECK(world.CountOutcome("unknown") == 0);
    CheckNothingWrong(world);
  }
}

TEST_CASE("two failures at once, drawn from the seed, tell no caller anything wrong") {
  constexpr uint64_t kSeeds = 60;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    request_world world({seed});
    std::mt19937_64 random(seed);
    world.Load(250, millis(6000), {1, 1, 1}, 40, 60);
    for (int i = 0; i < 2; ++i) {
      const std::string agent = "u" + std::to_string(random() % 10 + 1);
      const std::string entry = "e" + std::to_string(random() % 3 + 1);
      const millis begin(static_cast<int64_t>(random() % 4000) + 500);
      const millis end = begin + millis(static_cast<int64_t>(random() % 6000) + 200);
      const auto kind = random() % 6;
      world.events().After(begin, [&world, agent, entry, kind] {
        if (kind == 0) world.KillAgent(agent, true);
        if (kind == 1) world.Pause(agent);
        if (kind == 2) world.network().Cut(entry, agent);
        if (kind == 3) world.SetUpstream(agent, false, true, millis(0));
        if (kind == 4) world.SetUpstream(agent, true, false, millis(0));
        if (kind == 5) world.Pause(entry);
      });
      world.events().After(end, [&world, agent, entry, kind] {
        if (kind == 0) world.StartAgent(agent);
        if (kind == 1) world.Resume(agent);
        if (kind == 2) world.network().Heal(entry, agent);
        if (kind == 3 || kind == 4) world.SetUpstream(agent, false, false, millis(0));
        if (kind == 5) world.Resume(entry);
      });
    }
    world.Run(millis(40000));
    CHECK(CountOpen(world) == 0);
    CheckNothingWrong(world);
  }
}

TEST_CASE("more requests than the upstreams can take") {
  request_world world({11});
  const double capacity = 10 * 8 / 0.020;  // requests a second

  SUBCASE("skewed ten to one over the entries, the slots stay busy") {
    world.Load(capacity * 1.2, millis(6000), {10, 1, 1}, 100, 0);
    world.Run(millis(1000));
    const int64_t before = world.busy_slot_ms();
    world.Run(millis(4000));
    const double used = static_cast<double>(world.busy_slot_ms() - before) / (4000.0 * 80);
    CHECK(used >= 0.95);
    world.Run(millis(10000));
    CheckNothingWrong(world);
  }

  SUBCASE("twice the capacity: what is served meets its deadline") {
    world.Load(capacity * 2, millis(8000), {1, 1, 1}, 100, 0);
    world.Run(millis(20000));
    const int served = world.CountOutcome("completed");
    CHECK(served >= static_cast<int>(capacity * 8 * 0.95));
    int late = 0;
    for (const auto& call : world.calls()) {
      if (call.told.outcome == "completed" && call.latency() > millis(5000)) ++late;
    }
    CHECK(late <= served / 100);
    CHECK(world.CountOutcome("unknown") == 0);
    CheckNothingWrong(world);
  }

  SUBCASE("one organisation floods, another within its share keeps its latency") {
    for (int i = 0; i < 40000; ++i) {
      auto request = world.MakeRequest(true);
      request.organisation = "secadero";
      const millis at(i / 10);
      world.events().After(at, [&world, request]() mutable {
        request.body.data = "r" + std::to_string(world.calls().size());
        world.Call("e1", request);
      });
    }
    for (int i = 0; i < 200; ++i) {
      world.events().After(millis(20) * i, [&world] {
        auto request = world.MakeRequest(true);
        request.organisation = "calidad";
        world.Call("e1", request);
      });
    }
    world.Run(millis(15000));
    std::vector<int64_t> latencies;
    for (const auto& call : world.calls()) {
      if (call.organisation != "calidad") continue;
      CHECK(call.told.outcome == "completed");
      latencies.push_back(call.latency().count());
    }
    std::sort(latencies.begin(), latencies.end());
    CHECK(latencies[latencies.size() * 99 / 100] <= 100);
    CheckNothingWrong(world);
  }
}

TEST_CASE("half of the upstreams are down: no storm of retries") {
  request_world world({13});
  for (int u = 1; u <= 5; ++u) {
    world.SetUpstream("u" + std::to_string(u), true, false, millis(0));
  }
  world.Load(500, millis(10000), {1, 1, 1}, 50, 0);
  world.Run(millis(20000));
  int64_t fresh = 0;
  int64_t attempts = 0;
  for (const char* entry : {"e1", "e2", "e3"}) {
    fresh += world.router(entry).stats().admitted;
    attempts += world.router(entry).stats().attempts;
  }
  CHECK(static_cast<double>(attempts) <= 1.1 * static_cast<double>(fresh));
  CHECK(world.CountOutcome("completed") >= static_cast<int>(world.calls().size() * 9 / 10));
  CheckNothingWrong(world);
}

TEST_CASE("a late first copy of an attempt that was asked about") {
  upstream_core agent({"u1", 1, "orders", 8});
  std::vector<upstream_action> actions;
  const auto say = [&](peer_message message, millis now) {
    const upstream_event event = peer_said{"e1", std::move(message)};
    actions.clear();
    agent.Decide({&event, 1}, now, actions);
  };
  const upstream_event up = peer_up{hello{"e1", 1, peer_role::kEntry, {}, {}, {}, {}}};
  agent.Decide({&up, 1}, millis(0), actions);
  say(resolve{"e1/1/1/1"}, millis(10));

  SUBCASE("the question bars it and says so") {
    const auto& send = std::get<send_to_peer>(actions.at(0));
    CHECK(std::get<attempt_answer>(send.message).state == attempt_state::kNotRun);

    SUBCASE("and the copy does not run") {
      attempt late;
      late.id = "e1/1/1/1";
      late.deadline_ms = 5000;
      say(late, millis(20));
      for (const auto& action : actions) CHECK(!std::holds_alternative<call_upstream>(action));
      CHECK(agent.stats().rejected_by_tombstone == 1);
    }
  }

  SUBCASE("an attempt that is older than its deadline is refused without a question") {
    entry_heartbeat beat;
    beat.sent_ms = 1000;
    say(beat, millis(1001));
    attempt stale;
    stale.id = "e1/1/2/1";
    stale.sent_ms = 1000;
    stale.deadline_ms = 300;
    say(stale, millis(2000));
    for (const auto& action : actions) CHECK(!std::holds_alternative<call_upstream>(action));
    CHECK(agent.stats().refused >= 1);
  }
}

}  // namespace
}  // namespace eelgrass
