/** \file
 * The command that lists configuration changes.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists scheduled and past changes, ordered by due time. */
class list_changes_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
