/** \file
 * Showing the state of the system.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Shows the entries, the planner, guarantees and counters. */
class show_status_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
