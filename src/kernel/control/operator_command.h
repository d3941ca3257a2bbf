/** \file
 * Commands that operators and job owners can submit.
 */
#pragma once

#include <cstdint>

#include "kernel/config/access_list.h"

namespace eelgrass {

class control_core;

/** The caller of a command and where its reply goes. */
struct command_origin {
  uint64_t caller = 0;  // the front end's handle for the caller
  principal who;
};

/** Base class of all commands; they run on the control duty's thread. */
class operator_command {
 public:
  virtual ~operator_command() = default;

  /** Whether organisations may run it, not only operators. */
  virtual bool AllowedForOrganisations() const { return false; }

  /** Answers immediately, or registers a pending reply with `control`. */
  virtual void Run(control_core& control, const command_origin& origin) = 0;
};

}  // namespace eelgrass
