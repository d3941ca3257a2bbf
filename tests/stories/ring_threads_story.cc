#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>

#include "kernel/base/duty.h"
#include "kernel/base/system_clock.h"

namespace eelgrass {
namespace {

class adder : public duty_handler<int> {
 public:
  void Handle(std::span<int> numbers, millis /*now*/) override {
    ++calls;
    for (int number : numbers) sum += number;
  }
  std::atomic<int64_t> sum{0};
  std::atomic<int> calls{0};
};

TEST_CASE("a bounded ring") {
  bounded_ring<std::unique_ptr<int>> ring(4);
  std::vector<std::unique_ptr<int>> taken;

  SUBCASE("that is full refuses and leaves the item with its producer") {
    for (int i = 0; i < 4; ++i) CHECK(ring.TryPush(std::make_unique<int>(i)));
    auto fifth = std::make_unique<int>(5);
    CHECK(!ring.TryPush(std::move(fifth)));
    CHECK(fifth != nullptr);
    CHECK(ring.stats().rejected == 1);
    CHECK(ring.stats().max_depth == 4);
  }
  SUBCASE("keeps the order") {
    for (int i = 0; i < 3; ++i) ring.TryPush(std::make_unique<int>(i));
    ring.PopBatch(taken, 10, millis(0));
    REQUIRE(taken.size() == 3);
    CHECK(*taken[2] == 2);
  }
  SUBCASE("that is closed gives out what it has, and then ends") {
    ring.TryPush(std::make_unique<int>(1));
    ring.Close();
    CHECK(ring.PopBatch(taken, 10, millis(0)));
    CHECK(taken.size() == 1);
    CHECK(!ring.PopBatch(taken, 10, millis(0)));
    CHECK(!ring.Push(std::make_unique<int>(2)));
  }
  SUBCASE("wakes a producer that waits for room") {
    for (int i = 0; i < 4; ++i) ring.TryPush(std::make_unique<int>(i));
    std::thread producer([&] { CHECK(ring.Push(std::make_unique<int>(9))); });
    ring.PopBatch(taken, 1, millis(1000));
    producer.join();
    CHECK(ring.stats().depth == 4);
  }
}

TEST_CASE("a duty with several producers") {
  const system_clock time;
  adder handler;
  duty<int> work({"adder", 64, 16, millis(20)}, time, handler);
  work.Start();

  SUBCASE("handles everything that was delivered, also when it is stopped at once") {
    std::vector<std::thread> producers;
    for (int p = 0; p < 4; ++p) {
      producers.emplace_back([&] {
        for (int i = 0; i < 1000; ++i) work.Deliver(1);
      });
    }
    for (auto& producer : producers) producer.join();
    work.Stop();
    CHECK(handler.sum == 4000);
  }
  SUBCASE("is called at its tick without any event") {
    while (handler.calls < 2) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    work.Stop();
    CHECK(handler.sum == 0);
    CHECK(!work.Offer(1));
  }
}

}  // namespace
}  // namespace eelgrass
