#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "kernel/base/log_writer.h"

namespace eelgrass {
namespace {

/** Counts what comes through a descriptor until its other end is closed, reading slowly. */
void ReadSlowly(int descriptor, std::atomic<size_t>& received) {
  std::array<char, 4096> buffer{};
  while (true) {
    const ssize_t size = read(descriptor, buffer.data(), buffer.size());
    if (size <= 0) return;
    received += static_cast<size_t>(size);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

TEST_CASE("log lines go through a pipe that refuses to block") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  REQUIRE(fcntl(ends[1], F_SETFL, O_NONBLOCK) == 0);
  const std::string line(500, 'x');
  constexpr size_t kLines = 1000;  // more than a pipe holds

  SUBCASE("a slow reader gets every line whole") {
    const size_t all = kLines * (line.size() + 1);
    std::atomic<size_t> received{0};
    std::thread reader([&] { ReadSlowly(ends[0], received); });
    log_writer writer(ends[1]);
    for (size_t i = 0; i < kLines; ++i) writer.Offer(line);
    const auto patience = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (received < all && std::chrono::steady_clock::now() < patience) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    writer.Stop();
    close(ends[1]);
    reader.join();
    CHECK(writer.dropped() == 0);
    CHECK(received == all);
  }
  SUBCASE("without a reader the process ends all the same, and what was not written is counted") {
    log_writer writer(ends[1]);
    for (size_t i = 0; i < kLines; ++i) writer.Offer(line);
    writer.Stop();
    CHECK(writer.dropped() > 0);
    close(ends[1]);
  }
  close(ends[0]);
}

}  // namespace
}  // namespace eelgrass
