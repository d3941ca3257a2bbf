/** \file
 * Prints the replies of an entry as tables or JSON.
 */
#pragma once

#include <iosfwd>
#include <string_view>

#include "daemons/ctl/ctl_command.h"

namespace eelgrass {

/** Prints a reply as JSON or as text, and returns the matching exit code. */
ctl_exit ShowReply(const ctl_session& session, const result<ctl_reply>& reply,
                   std::string_view view, std::ostream& out, std::ostream& problems);

}  // namespace eelgrass
