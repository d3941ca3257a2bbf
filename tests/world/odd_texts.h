/** \file
 * What another writer may leave where the system reads.
 */
#pragma once

#include <string>
#include <string_view>

namespace eelgrass {

/** Far deeper than a thread's stack has room for one call a level. */
constexpr size_t kAbyss = 100'000;

/** A text of lists in lists. */
inline std::string Nested(size_t depth = kAbyss) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/** A text with one part of it replaced. */
inline std::string With(std::string_view text, std::string_view part, std::string_view by) {
  std::string changed(text);
  changed.replace(changed.find(part), part.size(), by);
  return changed;
}

}  // namespace eelgrass
