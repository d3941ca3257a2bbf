/** \file
 * The command that shows the system's status.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Shows entries, planner, guarantees and job statistics. */
class show_status_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
