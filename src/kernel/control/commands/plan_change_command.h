/** \file
 * The command that previews a configuration change.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Shows what a document would change and which jobs it would affect. */
class plan_change_command : public operator_command {
 public:
  explicit plan_change_command(std::string text) : text_(std::move(text)) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string text_;
};

}  // namespace eelgrass
