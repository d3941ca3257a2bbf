/** \file
 * The command that submits a job.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"
#include "kernel/model/job.h"

namespace eelgrass {

/** Validates a job and writes its row. Idempotent: a repeated key returns the existing job. */
class submit_job_command : public operator_command {
 public:
  submit_job_command(job_spec spec, std::string key)
      : spec_(std::move(spec)), key_(std::move(key)) {}

  bool AllowedForOrganisations() const override { return true; }
  void Run(control_core& control, const command_origin& origin) override;

 private:
  const job_spec spec_;
  const std::string key_;
};

}  // namespace eelgrass
