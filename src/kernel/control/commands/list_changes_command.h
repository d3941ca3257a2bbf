/** \file
 * Listing changes.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists booked and past changes by the time they are due. */
class list_changes_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
