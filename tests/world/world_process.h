/** \file
 * A process of a world.
 */
#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "kernel/base/millis.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** What its surroundings see of a process. */
struct world_process {
  std::string id;
  int index = 0;
  int domain = 0;  // failure domain
  peer_role role = peer_role::kEntry;
  double processor = 0;  // entries: see term_candidate
  bool alive = false;
  millis frozen_until{0};
  int64_t life = 0;  // counts starts; what was meant for an earlier one is dropped
  std::set<std::string> dialled;
};

/** Where a process listens for others. */
inline std::string PeerAddress(std::string_view id) { return std::string(id) + ":7000"; }

}  // namespace eelgrass
