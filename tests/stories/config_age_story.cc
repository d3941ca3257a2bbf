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
  const auto answered_soon = [&](uint64_t call, call_answer answer) {
    world.RunFor(kSoon);
    return world.Answered(call, answer);
  };

  SUBCASE("while the call for changes gets no answer") {
    world.SetStore(store_service::kNoFeedAnswers);
    world.RunUntilOperatorCall();
    SUBCASE("a queue that was added is not unknown") {
      world.Configure(kOrdersAndQuotes);
      world.RunFor(kPastBound);
      CHECK(answered_soon(world.AskWaiting("quotes", "key-1"), call_answer::kWaiting));
    }
    SUBCASE("a key that was added is not unknown") {
      world.Configure(kOrders, "key-2");
      world.RunFor(kPastBound);
      CHECK(answered_soon(world.AskWaiting("orders", "key-2"), call_answer::kWaiting));
    }
    SUBCASE("a job for a queue that was added is accepted") {
      world.Configure(kOrdersAndQuotes);
      world.RunFor(kPastBound);
      CHECK(answered_soon(world.Submit("quotes", "key-1"), call_answer::kAccepted));
    }
    SUBCASE("nor served at a queue that was removed") {
      world.Configure(kNone);
      world.RunFor(kPastBound);
      CHECK(answered_soon(world.AskWaiting("orders", "key-1"), call_answer::kNoSuchQueue));
      CHECK(world.inquiries() == 0);
    }
  }
  SUBCASE("when the feed tells changes at the end of its wait only") {
    world.SetStore(store_service::kDeafFeed);
    world.RunUntilOperatorCall();
    world.Configure(kOrdersAndQuotes);
    world.RunFor(millis(2001));
    CHECK(answered_soon(world.AskWaiting("quotes", "key-1"), call_answer::kWaiting));
  }
  SUBCASE("when the history is dropped while the call for changes gets no answer") {
    world.SetStore(store_service::kNoFeedAnswers);
    world.RunUntilOperatorCall();
    world.Configure(kOrdersAndQuotes);
    world.ForgetHistory();
    world.RunFor(kPastBound);
    CHECK(answered_soon(world.AskWaiting("quotes", "key-1"), call_answer::kWaiting));
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

TEST_CASE("confirming the configuration costs little") {
  gateway_world world;
  world.Configure(kOrders);
  world.RunFor(millis(5000));
  const auto answered_at_once = [&](uint64_t call, call_answer answer) {
    world.RunFor(millis(1));
    return world.Answered(call, answer) && world.answer(call)->took == millis(0);
  };

  SUBCASE("on a calm day an unknown queue is refused at once, without a call to the store") {
    const int calls = world.operator_calls();
    CHECK(answered_at_once(world.AskWaiting("quotes", "key-1"), call_answer::kNoSuchQueue));
    CHECK(world.operator_calls() == calls);
  }
  SUBCASE("one read serves all calls that wait for it, and those that come within the bound") {
    world.SetStore(store_service::kNoFeedAnswers);
    world.RunUntilOperatorCall();
    world.RunFor(kPastBound);
    const int calls = world.operator_calls();
    const uint64_t first = world.AskWaiting("quotes", "key-1");
    const uint64_t second = world.AskWaiting("orders", "key-2");
    const uint64_t third = world.AskWaiting("orders", "key-1");
    world.RunFor(kSoon);
    CHECK(world.Answered(first, call_answer::kNoSuchQueue));
    CHECK(world.Answered(second, call_answer::kNoSuchKey));
    CHECK(world.Answered(third, call_answer::kWaiting));
    CHECK(answered_at_once(world.AskWaiting("quotes", "key-1"), call_answer::kNoSuchQueue));
    CHECK(world.operator_calls() == calls + 1);
  }
  SUBCASE("an accepted job confirms it too") {
    world.SetStore(store_service::kNoFeedAnswers);
    world.RunUntilOperatorCall();
    world.RunFor(kPastBound);
    const uint64_t job = world.Submit("orders", "key-1");
    world.RunFor(kSoon);
    REQUIRE(world.Answered(job, call_answer::kAccepted));
    CHECK(answered_at_once(world.AskWaiting("quotes", "key-1"), call_answer::kNoSuchQueue));
  }
  SUBCASE("calls that the known configuration allows go on while the store is away") {
    world.SetStore(store_service::kRefuses);
    world.RunUntilOperatorCall();
    world.RunFor(millis(2500));
    CHECK(answered_at_once(world.AskWaiting("orders", "key-1"), call_answer::kWaiting));
    SUBCASE("until a withdrawn key has to be refused") {
      world.RunFor(millis(2000));
      const uint64_t call = world.AskWaiting("orders", "key-1");
      CHECK(answered_at_once(call, call_answer::kUnavailable));
    }
  }
  SUBCASE("a write without an answer does not show that a read would fail") {
    world.SetStore(store_service::kOnlyReads);
    world.RunUntilOperatorCall();
    world.RunFor(millis(1500));
    world.Submit("orders", "key-1");
    world.RunFor(millis(1000));
    const uint64_t call = world.AskWaiting("quotes", "key-1");
    world.RunFor(kSoon);
    CHECK(world.Answered(call, call_answer::kNoSuchQueue));
  }
  SUBCASE("what cannot be confirmed is known at once while the store is silent") {
    world.SetStore(store_service::kSilent);
    world.RunFor(millis(5000));
    CHECK(answered_at_once(world.AskWaiting("quotes", "key-1"), call_answer::kUnavailable));
  }
}

TEST_CASE("a newer configuration that cannot be read refuses nobody for good") {
  gateway_world world;
  world.Configure(kOrders);
  world.RunFor(millis(5000));
  world.ConfigureUnreadably();
  SUBCASE("that came by the feed") {}
  SUBCASE("that came with the whole table") { world.ForgetHistory(); }
  world.RunFor(kSoon);

  const uint64_t unknown = world.AskWaiting("quotes", "key-1");
  const uint64_t known = world.AskWaiting("orders", "key-1");
  const uint64_t job = world.Submit("orders", "key-1");
  world.RunFor(millis(1));
  CHECK(world.Answered(unknown, call_answer::kUnavailable));
  CHECK(world.Answered(known, call_answer::kWaiting));
  CHECK(world.Answered(job, call_answer::kUnavailable));

  world.Configure(kOrders);
  world.RunFor(kSoon);
  const uint64_t next = world.AskWaiting("quotes", "key-1");
  const uint64_t accepted = world.Submit("orders", "key-1");
  world.RunFor(kSoon);
  CHECK(world.Answered(next, call_answer::kNoSuchQueue));
  CHECK(world.Answered(accepted, call_answer::kAccepted));
}

TEST_CASE("a call of the operators' feed does not wait longer than the configuration's bound") {
  gateway_world world(millis(700));
  world.Configure(kOrders);
  world.RunFor(millis(3000));
  const int calls = world.operator_calls();
  world.RunFor(millis(7000));
  CHECK(world.operator_calls() >= calls + 9);
}

}  // namespace
}  // namespace eelgrass
