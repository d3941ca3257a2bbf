/** \file
 * Digests, authentication codes and random text, by OpenSSL.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace eelgrass {

/** SHA-256 in lower-case hexadecimal. */
std::string Sha256Hex(std::string_view data);

/** The first eight bytes of SHA-256 as a number, for spreading keys. */
uint64_t Sha256Prefix(std::string_view data);

/** HMAC-SHA256 in lower-case hexadecimal. */
std::string HmacHex(std::string_view key, std::string_view data);

/** Whether two texts are equal, in a time that does not depend on where they differ. */
bool EqualInConstantTime(std::string_view a, std::string_view b);

/** Random bytes from the operating system in hexadecimal. */
std::string RandomHex(int byte_count);

}  // namespace eelgrass
