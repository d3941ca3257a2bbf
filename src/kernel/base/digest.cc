#include "kernel/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <span>
#include <vector>

namespace eelgrass {
namespace {

constexpr size_t kSha256Bytes = 32;
using sha256_bytes = std::array<unsigned char, kSha256Bytes>;

sha256_bytes Sha256(std::string_view data) {
  sha256_bytes sum{};
  EVP_Digest(data.data(), data.size(), sum.data(), nullptr, EVP_sha256(), nullptr);
  return sum;
}

std::string ToHex(std::span<const unsigned char> data) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(data.size() * 2);
  for (unsigned char byte : data) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view data) { return ToHex(Sha256(data)); }

uint64_t Sha256Prefix(std::string_view data) {
  const sha256_bytes sum = Sha256(data);
  uint64_t prefix = 0;
  std::memcpy(&prefix, sum.data(), sizeof(prefix));
  return prefix;
}

std::string HmacHex(std::string_view key, std::string_view data) {
  sha256_bytes sum{};
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(data.data()), data.size(), sum.data(), nullptr);
  return ToHex(sum);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomHex(int byte_count) {
  std::vector<unsigned char> data(static_cast<size_t>(byte_count));
  RAND_bytes(data.data(), byte_count);
  return ToHex(data);
}

}  // namespace eelgrass
