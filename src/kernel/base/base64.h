/** \file
 * Base64, by OpenSSL.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace eelgrass {

std::string ToBase64(std::string_view bytes);

/** Nothing when the text is not base64. */
std::optional<std::string> FromBase64(std::string_view text);

}  // namespace eelgrass
