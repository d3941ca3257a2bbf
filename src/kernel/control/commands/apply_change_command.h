/** \file
 * The command that applies a configuration change immediately.
 */
#pragma once

#include <utility>

#include "kernel/control/change_request.h"
#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Applies a document immediately; refused if a review is required. */
class apply_change_command : public operator_command {
 public:
  explicit apply_change_command(change_request request) : request_(std::move(request)) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const change_request request_;
};

}  // namespace eelgrass
