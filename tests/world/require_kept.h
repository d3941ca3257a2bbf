/** \file
 * The last check of a story that plays a whole deployment.
 */
#pragma once

#include <doctest/doctest.h>

#include "tests/world/batch_world.h"

namespace eelgrass {

/** Judges what only the end shows, and fails with every broken promise as a line. */
inline void RequireKept(batch_world& world) {
  world.check().Finish();
  for (const auto& line : world.check().broken()) MESSAGE(line);
  CHECK(world.check().broken().empty());
}

}  // namespace eelgrass
