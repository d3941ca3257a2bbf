#include "kernel/base/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace eelgrass {
namespace {

constexpr size_t kLongestHost = 255;

constexpr std::string_view kNameLetters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";
constexpr std::string_view kHexAndColons = "0123456789abcdefABCDEF:.";

bool IsMadeOf(std::string_view text, std::string_view letters) {
  return text.find_first_not_of(letters) == std::string_view::npos;
}

bool IsIp(int family, std::string_view host) {
  in6_addr parsed{};  // has room for either family
  return inet_pton(family, std::string(host).c_str(), &parsed) == 1;
}

std::optional<int> ParsePort(std::string_view text) {
  unsigned port = 0;
  const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), port);
  const bool whole = problem == std::errc() && end == text.data() + text.size();
  if (!whole || port > kMostPort) return std::nullopt;
  return static_cast<int>(port);
}

}  // namespace

std::optional<host_and_port> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0 || colon > kLongestHost) return std::nullopt;
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port) return std::nullopt;
  const std::string_view host = text.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    const std::string_view inner = host.substr(1, host.size() - 2);
    if (!IsMadeOf(inner, kHexAndColons) || !IsIp(AF_INET6, inner)) return std::nullopt;
    return host_and_port{inner, host_form::kIpv6, *port};
  }
  if (!IsMadeOf(host, kNameLetters)) return std::nullopt;
  return host_and_port{host, IsIp(AF_INET, host) ? host_form::kIpv4 : host_form::kName, *port};
}

bool IsCallable(std::string_view text) {
  const auto parts = ParseAddress(text);
  return parts && parts->port > 0;
}

bool IsCallableIp(std::string_view text) {
  const auto parts = ParseAddress(text);
  return parts && parts->port > 0 && parts->form != host_form::kName;
}

}  // namespace eelgrass
