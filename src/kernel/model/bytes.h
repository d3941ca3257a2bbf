/** \file
 * Uninterpreted content of requests and answers.
 */
#pragma once

#include <string>
#include <string_view>

namespace eelgrass {

/** A body as it was received. A type of its own so that codecs write it as a byte string. */
struct bytes {
  std::string data;

  std::string_view view() const { return data; }
  bool operator==(const bytes&) const = default;
};

}  // namespace eelgrass
