#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "kernel/requests/key_placement.h"
#include "tests/world/request_world.h"

namespace eelgrass {
namespace {

TEST_CASE("an idempotency key that comes in twice") {
  request_world world({7});

  SUBCASE("through two entries at the same time runs once and answers both") {
    const auto request = world.MakeRequest(false, "booking-1");
    const size_t first = world.Call("e1", request);
    const size_t second = world.Call("e2", request);
    world.Run(millis(2000));
    CHECK(world.calls()[first].told.outcome == "completed");
    CHECK(world.calls()[second].told.outcome == "completed");
    CHECK(world.Executions("booking-1") == 1);
  }

  SUBCASE("again much later gets the kept answer") {
    const auto request = world.MakeRequest(false, "booking-2");
    world.Call("e1", request);
    world.Run(millis(60000));
    const size_t again = world.Call("e3", request);
    world.Run(millis(2000));
    CHECK(world.calls()[again].told.outcome == "completed");
    CHECK(world.Executions("booking-2") == 1);
  }

  SUBCASE("with another body is refused as not run") {
    auto request = world.MakeRequest(false, "booking-3");
    world.Call("e1", request);
    world.Run(millis(1000));
    request.path = "/something-else";
    const size_t other = world.Call("e2", request);
    world.Run(millis(3000));
    CHECK(world.calls()[other].told.outcome == "not-run");
    CHECK(world.Executions("booking-3") == 1);
  }

  SUBCASE("while one of the entries cannot see the key's home") {
    std::vector<std::string> names;
    std::vector<std::string_view> views;
    for (int u = 1; u <= 10; ++u) names.push_back("u" + std::to_string(u));
    std::sort(names.begin(), names.end());
    views.assign(names.begin(), names.end());
    const std::string home = PlaceKey("orders\nsecadero\nbooking-4", views).home;
    world.network().Cut("e2", home);
    world.Run(millis(4000));
    auto request = world.MakeRequest(false, "booking-4");
    request.organisation = "secadero";

    SUBCASE("the one that sees it comes first") {
      world.Call("e1", request);
      world.Run(millis(500));
      world.Call("e2", request);
    }
    SUBCASE("the one that does not see it comes first") {
      world.Call("e2", request);
      world.Run(millis(500));
      world.Call("e1", request);
    }
    SUBCASE("both at the same time") {
      world.Call("e1", request);
      world.Call("e2", request);
    }
    world.Run(millis(8000));
    CHECK(world.Executions("booking-4") == 1);
    for (const auto& call : world.calls()) CHECK(call.told.outcome != "not-run");
  }

  SUBCASE("after its home has died is unknown, and fresh keys still run") {
    std::vector<std::string_view> views;
    std::vector<std::string> names;
    for (int u = 1; u <= 10; ++u) names.push_back("u" + std::to_string(u));
    std::sort(names.begin(), names.end());
    views.assign(names.begin(), names.end());
    auto request = world.MakeRequest(false, "booking-5");
    request.organisation = "secadero";
    const std::string home = PlaceKey("orders\nsecadero\nbooking-5", views).home;
    world.Call("e1", request);
    world.Run(millis(500));
    world.KillAgent(home, true);
    world.Run(millis(4000));
    const size_t again = world.Call("e2", request);
    auto fresh = world.MakeRequest(false, "booking-6");
    const size_t other = world.Call("e2", fresh);
    world.Run(millis(3000));
    CHECK(world.calls()[again].told.outcome == "unknown");
    CHECK(world.calls()[other].told.outcome == "completed");
    CHECK(world.Executions("booking-5") == 1);
  }
}

TEST_CASE("views of the agents that differ by up to two members share a claim holder") {
  const std::vector<std::string_view> all = {"a", "b", "c", "d", "e", "f"};
  const auto holders = [](const key_placement& ring) {
    std::set<std::string> names(ring.claim_holders.begin(), ring.claim_holders.end());
    names.insert(ring.home);
    return names;
  };
  int compared = 0;
  for (int key = 0; key < 40; ++key) {
    const std::string text = "key-" + std::to_string(key);
    for (unsigned left = 0; left < 64; ++left) {
      for (unsigned right = 0; right < 64; ++right) {
        const unsigned differ = left ^ right;
        const unsigned both = left | right;
        if (__builtin_popcount(differ) > 2 || __builtin_popcount(left) < 3 ||
            __builtin_popcount(right) < 3 || both != 63) {
          continue;
        }
        std::vector<std::string_view> first;
        std::vector<std::string_view> second;
        for (unsigned i = 0; i < 6; ++i) {
          if (left >> i & 1) first.push_back(all[i]);
          if (right >> i & 1) second.push_back(all[i]);
        }
        const auto a = holders(PlaceKey(text, first));
        const auto b = holders(PlaceKey(text, second));
        std::vector<std::string> shared;
        std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(shared));
        REQUIRE(!shared.empty());
        ++compared;
      }
    }
  }
  CHECK(compared > 1000);
}

}  // namespace
}  // namespace eelgrass
