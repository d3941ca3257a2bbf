/** \file
 * Validation and application of configuration changes, shared by the change commands.
 */
#pragma once

#include <string>

#include "kernel/control/operator_command.h"
#include "kernel/records/records.h"

namespace eelgrass {

/** A configuration change as an operator submits it. */
struct change_request {
  std::string id;    // chosen by the client, so that a retry finds the same change
  std::string text;  // the complete configuration document
  std::string note;
  int64_t due_ms = 0;      // wall-clock time; 0 means now
  bool emergency = false;  // exempt from review
};

/**
 * Validates the request and fills in `change`. Returns false if the command has been answered
 * already: with a refusal if the document is invalid, or with the existing change if its id is
 * known.
 */
bool PrepareChange(control_core& control, const command_origin& origin,
                   const change_request& request, change_record& change);

/** Applies the change immediately and answers once it has been applied or has failed. */
void ApplyAndReply(control_core& control, const command_origin& origin, change_record change);

}  // namespace eelgrass
