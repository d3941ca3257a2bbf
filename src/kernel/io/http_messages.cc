#include "kernel/io/http_messages.h"

#include <strings.h>

namespace eelgrass {

std::string_view FindHeader(const std::vector<header_field>& headers, std::string_view name) {
  for (const auto& field : headers) {
    const bool same = field.name.size() == name.size() &&
                      strncasecmp(field.name.data(), name.data(), name.size()) == 0;
    if (same) return field.value;
  }
  return {};
}

std::string_view http_request::Header(std::string_view name) const {
  return FindHeader(headers, name);
}

std::string_view http_request::path() const {
  const std::string_view whole = target;
  return whole.substr(0, whole.find('?'));
}

std::string_view http_request::query() const {
  const std::string_view whole = target;
  const size_t mark = whole.find('?');
  return mark == std::string_view::npos ? std::string_view() : whole.substr(mark + 1);
}

std::string_view http_request::Parameter(std::string_view name) const {
  std::string_view rest = query();
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    const size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
  }
  return {};
}

}  // namespace eelgrass
