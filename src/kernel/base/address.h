/** \file
 * Addresses as HOST:PORT.
 */
#pragma once

#include <optional>
#include <string_view>

namespace eelgrass {

inline constexpr int kMostPort = 65535;

enum class host_form { kName, kIpv4, kIpv6 };

/** The parts of an address. */
struct host_and_port {
  std::string_view host;  // of an IPv6 address what stands in the brackets
  host_form form = host_form::kName;
  int port = 0;  // 0: any one, to listen at
};

/** Reads HOST:PORT and nothing else; an IPv6 address stands in brackets. */
std::optional<host_and_port> ParseAddress(std::string_view text);

/** Whether a text is an address that can be called. */
bool IsCallable(std::string_view text);

/** The same for IP:PORT: it is at one machine, while a name may stand for several. */
bool IsCallableIp(std::string_view text);

}  // namespace eelgrass
