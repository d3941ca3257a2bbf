/** \file
 * The command that shows a job.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Shows one job and the reason for its current state. */
class show_job_command : public operator_command {
 public:
  explicit show_job_command(std::string id) : id_(std::move(id)) {}

  bool AllowedForOrganisations() const override { return true; }
  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string id_;
};

}  // namespace eelgrass
