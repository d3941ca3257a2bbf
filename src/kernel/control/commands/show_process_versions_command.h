/** \file
 * Showing which configuration is in force where.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists every process that this entry knows with its version. */
class show_process_versions_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
