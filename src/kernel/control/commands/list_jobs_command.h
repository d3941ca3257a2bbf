/** \file
 * The command that lists jobs.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists the jobs visible to the caller in submission order, optionally only one state's. */
class list_jobs_command : public operator_command {
 public:
  explicit list_jobs_command(std::string state) : state_(std::move(state)) {}

  bool AllowedForOrganisations() const override { return true; }
  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string state_;
};

}  // namespace eelgrass
