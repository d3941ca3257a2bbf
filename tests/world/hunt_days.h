/** \file
 * Days that are drawn from a seed, and which of them to play.
 */
#pragma once

#include <cstdint>
#include <cstdlib>

namespace eelgrass {

/** Whether workers may start again under the ids that they had. */
enum class worker_ids { kNew, kKept };

/** A number that the environment holds, or another one. */
inline uint64_t HuntSetting(const char* name, uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/** Plays the days that the environment names, or these many from a seed on, each by its seed. */
template <typename Play>
void PlayDays(uint64_t usual, const Play& play, uint64_t usual_first = 1) {
  const uint64_t first = HuntSetting("EELGRASS_HUNT_FIRST", usual_first);
  const uint64_t days = HuntSetting("EELGRASS_HUNT_DAYS", usual);
  for (uint64_t seed = first; seed < first + days; ++seed) play(seed);
}

}  // namespace eelgrass
