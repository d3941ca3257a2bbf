/** \file
 * Changes to the connections that a process keeps.
 */
#pragma once

#include <string>
#include <vector>

namespace eelgrass {

/** Addresses to connect to, and those whose connections are given up. */
struct link_changes {
  std::vector<std::string> dial;
  std::vector<std::string> undial;
};

}  // namespace eelgrass
