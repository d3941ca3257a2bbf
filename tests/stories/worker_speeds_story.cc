#include <doctest/doctest.h>

#include "kernel/batch/worker_controller.h"
#include "kernel/learning/worker_speeds.h"
#include "kernel/placement/urgent_headroom.h"

namespace eelgrass {
namespace {

TEST_CASE("the speed of workers is learned from the ends of their tasks") {
  worker_speeds speeds;
  step_state step;
  const millis estimate(1000);
  const auto end = [&](std::string_view worker, int64_t took) {
    speeds.Learn(worker, step, estimate, millis(took));
  };
  const auto rounds = [&](int count, int64_t usual, int64_t slow) {
    for (int i = 0; i < count; ++i) {
      for (const char* worker : {"w1", "w2", "w3"}) end(worker, usual);
      end("w4", slow);
    }
  };

  SUBCASE("nothing is known: all are taken to be usual") {
    CHECK(speeds.Pace("w1") == worker_pace::kTypical);
    SUBCASE("and one slow end is no proof") {
      rounds(1, 1000, 3000);
      CHECK(speeds.Pace("w4") == worker_pace::kTypical);
    }
  }
  SUBCASE("a worker that takes a third longer is slow after a few ends") {
    rounds(4, 1000, 1300);
    CHECK(speeds.Pace("w4") == worker_pace::kSlow);
    for (const char* worker : {"w1", "w2", "w3"}) {
      CHECK(speeds.Pace(worker) == worker_pace::kTypical);
    }
    SUBCASE("and usual again when it has become as fast as the others") {
      rounds(12, 1000, 1000);
      CHECK(speeds.Pace("w4") == worker_pace::kTypical);
    }
    SUBCASE("and crawling when something is wrong with it") {
      rounds(12, 1000, 5000);
      CHECK(speeds.Pace("w4") == worker_pace::kVerySlow);
    }
  }
  SUBCASE("most workers are slow, so that they are the usual ones") {
    for (int i = 0; i < 8; ++i) {
      for (const char* worker : {"w5", "w6", "w7", "w8", "w9"}) end(worker, 3000);
      for (const char* worker : {"w1", "w2", "w3"}) end(worker, 1000);
      end("w4", 3000);
    }
    REQUIRE(speeds.Pace("w4") == worker_pace::kTypical);
    SUBCASE("and when they have left, a slow one stands out among those that stay") {
      worker_pool pool;
      for (const char* worker : {"w1", "w2", "w3", "w4"}) pool.Get(worker);
      speeds.Retain(pool);
      CHECK(speeds.Pace("w4") == worker_pace::kVerySlow);
      CHECK(speeds.Pace("w1") == worker_pace::kTypical);
    }
    SUBCASE("and one that comes back is taken to be usual until it has shown its speed") {
      speeds.Retain(worker_pool{});
      rounds(4, 1000, 1300);
      CHECK(speeds.Pace("w4") == worker_pace::kSlow);
      CHECK(speeds.Pace("w9") == worker_pace::kTypical);
    }
  }
  SUBCASE("an estimate that is off for a whole step says nothing of the workers") {
    rounds(6, 2000, 2000);
    for (const char* worker : {"w1", "w2", "w3", "w4"}) {
      CHECK(speeds.Pace(worker) == worker_pace::kTypical);
    }
  }
}

TEST_CASE("room is kept free for urgent work by its recent peaks") {
  urgent_headroom headroom;
  const double capacity = 100;

  SUBCASE("none before there was any") { CHECK(headroom.Reserved(0, capacity) == 0); }
  SUBCASE("after a peak as much as that needed, less what urgent work has now") {
    headroom.Observe(20, millis(1000));
    CHECK(headroom.Reserved(20, capacity) == 0);
    CHECK(headroom.Reserved(5, capacity) == doctest::Approx(15));
    SUBCASE("and ever less as time passes") {
      headroom.Observe(0, millis(11000));
      CHECK(headroom.Reserved(0, capacity) == doctest::Approx(10));
      headroom.Observe(0, millis(111000));
      CHECK(headroom.Reserved(0, capacity) < 0.02);
    }
  }
  SUBCASE("but never more than a quarter of the capacity") {
    headroom.Observe(90, millis(1000));
    CHECK(headroom.Reserved(0, capacity) == doctest::Approx(25));
  }
}

TEST_CASE("a worker's notice grows old with its agent's knowledge") {
  worker_heartbeat beat;
  beat.worker.self = {"w1", 17};
  beat.sequence = 1;
  worker_controller steward(beat, millis(0));
  CHECK(steward.Report(1, millis(100)).worker.remaining_ms == -1);
  beat.sequence = 2;
  beat.worker.draining = true;
  beat.worker.remaining_ms = 2000;
  REQUIRE(steward.On(beat, millis(1000)));
  CHECK(steward.Report(2, millis(1000)).worker.remaining_ms == 2000);
  CHECK(steward.Report(3, millis(1700)).worker.remaining_ms == 1300);
  CHECK(steward.Report(4, millis(9000)).worker.remaining_ms == 0);
}

}  // namespace
}  // namespace eelgrass
