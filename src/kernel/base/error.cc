#include "kernel/base/error.h"

namespace eelgrass {

std::string_view ErrorKindName(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalid:
      return "invalid";
    case error_kind::kConflict:
      return "conflict";
    case error_kind::kNotFound:
      return "not-found";
    case error_kind::kUnavailable:
      return "unavailable";
    case error_kind::kRefused:
      return "refused";
    case error_kind::kUnknown:
      return "unknown";
    case error_kind::kExhausted:
      return "exhausted";
  }
  return "invalid";
}

std::string ToString(const error& err) {
  std::string text = "step=" + err.step;
  if (!err.peer.empty()) text += " peer=" + err.peer;
  text += " kind=";
  text += ErrorKindName(err.kind);
  text += " detail=\"" + err.detail + "\"";
  return text;
}

}  // namespace eelgrass
