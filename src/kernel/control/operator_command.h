/** \file
 * What an operator or the owner of a job can ask for.
 */
#pragma once

#include <cstdint>

#include "kernel/config/access_list.h"

namespace eelgrass {

class control_core;

/** Who asks, and where the answer goes. */
struct command_origin {
  uint64_t caller = 0;  // the front end's handle
  principal who;
};

/** One kind of request; each is a class of its own, run on the control duty. */
class operator_command {
 public:
  virtual ~operator_command() = default;

  /** Whether organisations may ask for it, too. */
  virtual bool AllowedForOrganisations() const { return false; }

  /** Answers at once, or leaves a ticket with `desk` that is answered later. */
  virtual void Run(control_core& control, const command_origin& origin) = 0;
};

}  // namespace eelgrass
