/** \file
 * Amounts of what a worker has.
 */
#pragma once

#include <algorithm>
#include <climits>

namespace eelgrass {

/** Accelerators, cores and memory; of a worker, a task, a part of a gang or a guarantee. */
struct resources {
  int accelerators = 0;
  int cores = 0;
  int memory_gb = 0;

  bool operator==(const resources&) const = default;

  resources operator+(const resources& other) const {
    return {accelerators + other.accelerators, cores + other.cores, memory_gb + other.memory_gb};
  }
  resources operator-(const resources& other) const {
    return {accelerators - other.accelerators, cores - other.cores, memory_gb - other.memory_gb};
  }
  resources operator*(int factor) const {
    return {accelerators * factor, cores * factor, memory_gb * factor};
  }
  resources& operator+=(const resources& other) { return *this = *this + other; }
  resources& operator-=(const resources& other) { return *this = *this - other; }

  bool empty() const { return accelerators == 0 && cores == 0 && memory_gb == 0; }

  /** Whether nothing is below zero. */
  bool valid() const { return accelerators >= 0 && cores >= 0 && memory_gb >= 0; }

  bool Fits(const resources& room) const { return (room - *this).valid(); }
};

/** How many times `each` fits into `room`, at most `most`. */
inline int CountFitting(const resources& each, const resources& room, int most) {
  int count = most;
  if (each.accelerators > 0) count = std::min(count, room.accelerators / each.accelerators);
  if (each.cores > 0) count = std::min(count, room.cores / each.cores);
  if (each.memory_gb > 0) count = std::min(count, room.memory_gb / each.memory_gb);
  return std::max(0, count);
}

/** The smaller of each amount. */
inline resources Least(const resources& a, const resources& b) {
  return {std::min(a.accelerators, b.accelerators), std::min(a.cores, b.cores),
          std::min(a.memory_gb, b.memory_gb)};
}

}  // namespace eelgrass
