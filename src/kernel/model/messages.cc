#include "kernel/model/messages.h"

namespace eelgrass {

std::string_view GangStateName(gang_state value) {
  constexpr std::string_view kNames[] = {"arming",   "starting", "running", "stopping",
                                         "finished", "failed",   "stopped", "barred"};
  return kNames[static_cast<int>(value)];
}

}  // namespace eelgrass
