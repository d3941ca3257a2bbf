/** \file
 * What every way of entering a change has in common.
 */
#pragma once

#include <string>

#include "kernel/control/operator_command.h"
#include "kernel/records/records.h"

namespace eelgrass {

/** A change as an operator hands it in. */
struct change_request {
  std::string id;    // chosen by the client, so that it can ask again
  std::string text;  // the whole document
  std::string note;
  int64_t due_ms = 0;      // wall time; 0: now
  bool emergency = false;  // needs no review
};

/**
 * Checks the request and makes its record. Refuses, and returns false, when the document is wrong.
 * A request whose change is known already is answered with that change.
 */
bool PrepareChange(control_core& control, const command_origin& origin,
                   const change_request& request, change_record& change);

/** Applies the change now and answers when that has been settled. */
void ApplyAndReply(control_core& control, const command_origin& origin, change_record change);

}  // namespace eelgrass
