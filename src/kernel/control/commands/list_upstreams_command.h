/** \file
 * Listing upstreams.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists the upstreams that have announced themselves. */
class list_upstreams_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
