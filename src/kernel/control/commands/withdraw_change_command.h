/** \file
 * The command that withdraws a scheduled change.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Withdraws a change that has not been applied yet. */
class withdraw_change_command : public operator_command {
 public:
  explicit withdraw_change_command(std::string id) : id_(std::move(id)) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string id_;
};

}  // namespace eelgrass
