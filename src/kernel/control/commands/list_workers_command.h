/** \file
 * The command that lists workers.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists workers with their state, resources and jobs. */
class list_workers_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
