/** \file
 * The command that shows a configuration change.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Shows one change, including its document. */
class show_change_command : public operator_command {
 public:
  explicit show_change_command(std::string id) : id_(std::move(id)) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string id_;
};

}  // namespace eelgrass
