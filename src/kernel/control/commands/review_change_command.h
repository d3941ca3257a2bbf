/** \file
 * The command that approves a scheduled change.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Records the approval of a scheduled change by an operator other than its author. */
class review_change_command : public operator_command {
 public:
  explicit review_change_command(std::string id) : id_(std::move(id)) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string id_;
};

}  // namespace eelgrass
