/** \file
 * The command that shows the configuration version of each process.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists every process known to this entry with its configuration version. */
class show_process_versions_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
