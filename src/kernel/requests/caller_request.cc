#include "kernel/requests/caller_request.h"

namespace eelgrass {

std::string_view OutcomeName(request_outcome value) {
  constexpr std::string_view kNames[] = {"completed", "not-run", "unknown"};
  return kNames[static_cast<int>(value)];
}

}  // namespace eelgrass
