/** \file
 * The command that cancels a job.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Requests the cancellation of a job; the planner then stops it. */
class cancel_job_command : public operator_command {
 public:
  explicit cancel_job_command(std::string id) : id_(std::move(id)) {}

  bool AllowedForOrganisations() const override { return true; }
  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string id_;
};

}  // namespace eelgrass
