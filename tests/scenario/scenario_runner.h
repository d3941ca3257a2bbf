/** \file
 * Runs scenarios that are written in Lua.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace eelgrass {

/** How a scenario ended. */
struct scenario_result {
  std::string name;
  uint64_t seed = 0;
  bool passed = false;
  std::string problem;
};

/**
 * Loads a Lua file that calls scenario(name, function(world) ... end), and runs each of its
 * scenarios with each seed from `first_seed` on. `seeds` of 0 takes the file's own number.
 */
std::vector<scenario_result> RunScenarioFile(const std::string& file, const std::string& only,
                                             uint64_t first_seed, int seeds);

}  // namespace eelgrass
