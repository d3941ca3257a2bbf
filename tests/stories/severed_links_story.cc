#include <doctest/doctest.h>

#include <functional>
#include <utility>

#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr int kJobs = 12;

batch_job JobOf(int number) {
  const bool gang = number % 3 == 0;
  return MakeBatchJob("f" + std::to_string(100 + number), number % 4 == 0 ? "urgent" : "usual",
                      1 + number % 4, millis(2000 + 500 * (number % 5)), 1 + number % 3, gang);
}

/** When connections go silent and workers leave, from the first job on. */
struct severed_day {
  millis severed{0};
  double share = 0;  // of the connections
  millis departure{0};
  millis severed_again{0};  // 0: never
};

/** Jobs come every 0.4 s; the configuration changes just before the workers leave. */
void Play(batch_world& world, const severed_day& day) {
  const auto after = [&world](millis delay, std::function<void()> call) {
    world.events().After(delay, std::move(call));
  };
  for (int i = 0; i < kJobs; ++i) {
    after(millis(400) * i, [&world, i] {
      world.Submit(JobOf(i));
      world.Watch(JobOf(i).id);
    });
  }
  after(day.severed, [&world, day] { world.SeverLinks(day.share); });
  if (day.severed_again > millis(0)) {
    after(day.severed_again, [&world] { world.SeverLinks(0.5); });
  }
  after(day.departure - millis(500), [&world] {
    world.Configure([](batch_config& config) { ++config.queues.front().attempts; });
  });
  after(day.departure, [&world] {
    world.DrainWorker(0);
    world.DrainWorker(4);
  });
  world.RunFor(millis(45000));
}

// Guards against a process that takes the silence of a connection for the end of its peer: tasks
// would run twice, or be lost.
TEST_CASE("connections go silent for good while workers leave") {
  severed_day day{millis(1000), 0.7, millis(5500)};
  SUBCASE("seconds before") {}
  SUBCASE("at the same moment") { day.departure = millis(1050); }
  SUBCASE("and once more") {
    day.departure = millis(3000);
    day.severed_again = millis(3600);
  }
  SUBCASE("all of them") { day = {millis(2500), 1.0, millis(3000)}; }

  for (uint64_t seed = 5301; seed < 5305; ++seed) {
    CAPTURE(seed);
    batch_world_options options;
    options.seed = seed;
    options.workers = 9;
    batch_world world(options);
    world.RunFor(millis(5000));
    Play(world, day);
    for (int i = 0; i < kJobs; ++i) CHECK(world.check().completed(JobOf(i).id).has_value());
    RequireKept(world);
  }
}

}  // namespace
}  // namespace eelgrass
