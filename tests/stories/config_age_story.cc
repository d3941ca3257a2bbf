#include <doctest/doctest.h>

#include <array>
#include <string_view>

#include "tests/world/gateway_world.h"

namespace eelgrass {
namespace {

constexpr std::array<std::string_view, 1> kOrders{"orders"};
constexpr std::array<std::string_view, 2> kOrdersAndQuotes{"orders", "quotes"};
constexpr std::array<std::string_view, 0> kNone{};
constexpr millis kPastBound{2010};
constexpr millis kSoon{100};

TEST_CASE("no caller is refused by a configuration that is older than the bound") {
  gateway_world world;
  world.Configure(kOrders);
  world.RunFor(millis(5000));

  SUBCASE("while the call for changes gets no answer") {
    world.SetStore(store_service::kNoFeedAnswers);
    world.RunUntilOperatorCall();
    SUBCASE("a queue that was added is not unknown") {
      world.Configure(kOrdersAndQuotes);
      world.RunFor(kPastBound);
      const uint64_t call = world.AskWaiting("quotes", "key-1");
      world.RunFor(kSoon);
      CHECK(world.Answered(call, call_answer::kWaiting));
    }
    SUBCASE("a key that was added is not unknown") {
      world.Configure(kOrders, "key-2");
      world.RunFor(kPastBound);
      const uint64_t call = world.AskWaiting("orders", "key-2");
      world.RunFor(kSoon);
      CHECK(world.Answered(call, call_answer::kWaiting));
    }
    SUBCASE("a job for a queue that was added is accepted") {
      world.Configure(kOrdersAndQuotes);
      world.RunFor(kPastBound);
      const uint64_t call = world.Submit("quotes", "key-1");
      world.RunFor(kSoon);
      CHECK(world.Answered(call, call_answer::kAccepted));
    }
    SUBCASE("nor served at a queue that was removed") {
      world.Configure(kNone);
      world.RunFor(kPastBound);
      const uint64_t call = world.AskWaiting("orders", "key-1");
      world.RunFor(kSoon);
      CHECK(world.Answered(call, call_answer::kNoSuchQueue));
      CHECK(world.inquiries() == 0);
    }
  }
  SUBCASE("when the feed tells changes at the end of its wait only") {
    world.SetStore(store_service::kDeafFeed);
    world.RunUntilOperatorCall();
    world.Configure(kOrdersAndQuotes);
    world.RunFor(millis(2001));
    const uint64_t call = world.AskWaiting("quotes", "key-1");
    world.RunFor(kSoon);
    CHECK(world.Answered(call, call_answer::kWaiting));
  }
  SUBCASE("while the store does not serve this entry: it is told to try another one") {
    SUBCASE("as the store refuses") { world.SetStore(store_service::kRefuses); }
    SUBCASE("as the store is silent") { world.SetStore(store_service::kSilent); }
    world.RunFor(millis(3000));
    world.Configure(kOrdersAndQuotes);
    world.RunFor(kPastBound);
    const uint64_t call = world.AskWaiting("quotes", "key-1");
    world.RunFor(millis(1500));
    REQUIRE(world.Answered(call, call_answer::kUnavailable));
    CHECK(world.answer(call)->retry_after > millis(0));
    CHECK(world.answer(call)->elsewhere);
  }
}

}  // namespace
}  // namespace eelgrass
