/** \file
 * Listing jobs.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"

namespace eelgrass {

/** Lists the jobs that the caller may see, in the order of submission. */
class list_jobs_command : public operator_command {
 public:
  explicit list_jobs_command(std::string state) : state_(std::move(state)) {}

  bool AllowedForOrganisations() const override { return true; }
  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string state_;
};

}  // namespace eelgrass
