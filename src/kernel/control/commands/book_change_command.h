/** \file
 * The command that schedules a configuration change.
 */
#pragma once

#include <utility>

#include "kernel/control/change_request.h"
#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Schedules a document; when due, it is merged with the changes applied since. */
class book_change_command : public operator_command {
 public:
  explicit book_change_command(change_request request) : request_(std::move(request)) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const change_request request_;
};

}  // namespace eelgrass
