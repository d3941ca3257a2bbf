/** \file
 * The command that lists failure domains.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists failure domains with their next maintenance window, workers and running jobs. */
class list_domains_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
