/** \file
 * What a world draws from its seed.
 */
#pragma once

#include <cstdint>
#include <random>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Draws for all parts of a world, in the order of their asking. */
class draws {
 public:
  explicit draws(uint64_t seed) : random_(seed) {}

  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  millis Between(millis least, millis most) {
    return millis(std::uniform_int_distribution<int64_t>(least.count(), most.count())(random_));
  }

 private:
  std::mt19937_64 random_;
};

}  // namespace eelgrass
