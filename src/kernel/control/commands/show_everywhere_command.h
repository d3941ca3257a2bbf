/** \file
 * Showing which configuration is in force where.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists every process that this entry knows with its version. */
class show_everywhere_command : public operator_command {
 public:
  void Run(control_core& desk, const command_origin& origin) override;
};

}  // namespace eelgrass
