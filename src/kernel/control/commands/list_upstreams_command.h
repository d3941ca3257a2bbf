/** \file
 * The command that lists upstreams.
 */
#pragma once

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists the upstreams whose agents have connected to this entry. */
class list_upstreams_command : public operator_command {
 public:
  void Run(control_core& control, const command_origin& origin) override;
};

}  // namespace eelgrass
