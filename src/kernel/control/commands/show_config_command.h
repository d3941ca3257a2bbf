/** \file
 * The command that shows the configuration.
 */
#pragma once

#include <cstdint>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Shows the given version of the configuration; 0 selects the one in force. */
class show_config_command : public operator_command {
 public:
  explicit show_config_command(int64_t version) : version_(version) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const int64_t version_;
};

}  // namespace eelgrass
