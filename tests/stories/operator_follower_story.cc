#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>

#include "kernel/batch/operator_follower.h"

namespace eelgrass {
namespace {

constexpr millis kBound{2000};

row Config(int64_t version, int64_t revision) {
  return {{"op", "", "config"}, "{\"Version\":" + std::to_string(version) + "}", revision, false};
}

row Evacuation(std::string_view domain, int64_t revision, bool over = false) {
  return {{"op", "", "evacuate/" + std::string(domain)}, over ? "" : "{}", revision, over};
}

rows_result Answer(std::vector<row> rows, int64_t revision, bool more = false) {
  rows_result answer;
  answer.outcome = row_outcome::kDone;
  answer.rows = std::move(rows);
  answer.revision = revision;
  answer.more = more;
  return answer;
}

/** The revision after which the follower's next call asks for changes; none: it reads the table. */
std::optional<int64_t> FollowsAfter(operator_follower& follower, millis now) {
  const auto call = follower.Next(now);
  REQUIRE(call.has_value());
  const auto* feed = std::get_if<row_feed>(&call->call);
  if (feed == nullptr) return std::nullopt;
  return feed->after;
}

TEST_CASE("a change between two pages of the operators' table is not skipped") {
  const auto source = std::move(operator_source_registry::Instance().Create("platform").value());
  operator_follower follower(*source, kBound);
  REQUIRE_FALSE(FollowsAfter(follower, millis(0)).has_value());
  follower.On(Answer({Config(1, 10)}, 20, true), millis(10));
  REQUIRE_FALSE(FollowsAfter(follower, millis(10)).has_value());
  follower.On(Answer({Evacuation("maipu", 15)}, 30), millis(20));  // revision 25 was a new version

  CHECK((follower.confirmed() == millis(0)));
  CHECK(FollowsAfter(follower, millis(20)) == 20);
  follower.On(Answer({Config(2, 25)}, 30), millis(30));
  CHECK(follower.version() == 2);
}

TEST_CASE("an answer without changes confirms the state for the time that the store has waited") {
  const auto source = std::move(operator_source_registry::Instance().Create("platform").value());
  operator_follower follower(*source, kBound);
  REQUIRE(follower.Next(millis(0)).has_value());
  follower.On(Answer({Config(1, 10)}, 20), millis(10));
  REQUIRE(FollowsAfter(follower, millis(10)) == 20);

  SUBCASE("for the whole wait") {
    follower.On(Answer({}, 30), millis(2020));
    CHECK((follower.confirmed() == millis(2010)));
  }
  SUBCASE("for no time if it answers early") {
    follower.On(Answer({}, 30), millis(20));
    CHECK((follower.confirmed() == millis(10)));
  }
}

TEST_CASE("a change that two answers bring in the wrong order is applied once") {
  const auto source = std::move(operator_source_registry::Instance().Create("platform").value());
  operator_follower follower(*source, kBound);
  REQUIRE(follower.Next(millis(0)).has_value());
  follower.On(Answer({Config(1, 10)}, 20), millis(10));
  REQUIRE(FollowsAfter(follower, millis(10)) == 20);
  follower.RequestConfirmation(millis(100));
  REQUIRE(follower.NextConfirmation(millis(100)).has_value());
  follower.OnConfirmation(Answer({Evacuation("maipu", 25, true)}, 25), millis(110));
  follower.On(Answer({Evacuation("maipu", 22)}, 22), millis(120));
  CHECK(follower.state().evacuated.empty());
  CHECK(FollowsAfter(follower, millis(120)) == 25);
}

}  // namespace
}  // namespace eelgrass
