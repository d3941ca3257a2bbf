/** \file
 * Listing workers.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists workers with their state and what runs on them. */
class list_workers_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
