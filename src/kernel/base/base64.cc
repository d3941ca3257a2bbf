#include "kernel/base/base64.h"

#include <openssl/evp.h>

namespace eelgrass {
namespace {

constexpr size_t kGroupBytes = 3;
constexpr size_t kGroupLetters = 4;

unsigned char* Bytes(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

std::string ToBase64(std::string_view bytes) {
  // OpenSSL writes a zero behind the text.
  std::string text((bytes.size() + kGroupBytes - 1) / kGroupBytes * kGroupLetters + 1, '\0');
  const int size = EVP_EncodeBlock(Bytes(text), Bytes(bytes), static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(size));
  return text;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % kGroupLetters != 0) return std::nullopt;
  std::string bytes(text.size() / kGroupLetters * kGroupBytes, '\0');
  const int size = EVP_DecodeBlock(Bytes(bytes), Bytes(text), static_cast<int>(text.size()));
  if (size < 0) return std::nullopt;
  // OpenSSL counts the padding as bytes.
  size_t padding = 0;
  while (padding < text.size() && padding < kGroupBytes && text[text.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<size_t>(size) - padding);
  return bytes;
}

}  // namespace eelgrass
