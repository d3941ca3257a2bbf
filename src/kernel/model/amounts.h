/** \file
 * Amounts of a worker's processors, memory and accelerators, in the units of batch tasks.
 */
#pragma once

#include <algorithm>
#include <cstdint>

namespace eelgrass {

/** What a batch task asks for, or what a worker has. */
struct amounts {
  int64_t cpu_milli = 0;  // thousandths of a core
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  bool operator==(const amounts&) const = default;

  amounts operator+(const amounts& other) const {
    return {cpu_milli + other.cpu_milli, memory_mb + other.memory_mb,
            accelerators + other.accelerators};
  }
  amounts operator-(const amounts& other) const {
    return {cpu_milli - other.cpu_milli, memory_mb - other.memory_mb,
            accelerators - other.accelerators};
  }
  amounts& operator+=(const amounts& other) { return *this = *this + other; }
  amounts& operator-=(const amounts& other) { return *this = *this - other; }

  bool Fits(const amounts& room) const {
    return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
  }
};

/** Thousandths of a core that one accelerator counts as when work is weighed. */
inline constexpr int64_t kCpuMilliPerAccelerator = 8000;

/** One number for the size of an amount, in thousandths of a core. */
inline int64_t Weight(const amounts& value) {
  return value.cpu_milli + kCpuMilliPerAccelerator * value.accelerators;
}

/** The largest share that an amount is of any part of a capacity: what it takes of a worker. */
inline double LargestShare(const amounts& value, const amounts& capacity) {
  const auto share = [](int64_t part, int64_t whole) {
    return whole <= 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
  };
  return std::max({share(value.cpu_milli, capacity.cpu_milli),
                   share(value.memory_mb, capacity.memory_mb),
                   share(value.accelerators, capacity.accelerators)});
}

/** How many times `each` fits into `room`, at most `most`. */
inline int64_t CountFitting(const amounts& each, const amounts& room, int64_t most) {
  int64_t count = most;
  if (each.cpu_milli > 0) count = std::min(count, room.cpu_milli / each.cpu_milli);
  if (each.memory_mb > 0) count = std::min(count, room.memory_mb / each.memory_mb);
  if (each.accelerators > 0) count = std::min(count, room.accelerators / each.accelerators);
  return std::max<int64_t>(0, count);
}

}  // namespace eelgrass
