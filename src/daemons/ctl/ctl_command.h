/** \file
 * The commands of eelgrassctl and their exit codes.
 */
#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "daemons/ctl/ctl_session.h"

namespace eelgrass {

/** Exit codes of eelgrassctl. */
enum class ctl_exit {
  kDone = 0,
  kRefused = 1,      // the system rejected the request, or the document is invalid
  kUsage = 2,        // the command line is invalid
  kUnreachable = 3,  // no entry answered
  kUnknown = 4,      // the command may have taken effect: repeat it with the same key
};

/** One command, such as "jobs submit". */
class ctl_command {
 public:
  virtual ~ctl_command() = default;

  virtual std::string_view words() const = 0;      // "jobs submit"
  virtual std::string_view arguments() const = 0;  // "FILE"
  virtual std::string_view help() const = 0;       // one line
  virtual size_t min_arguments() const = 0;

  virtual ctl_exit Run(ctl_session& session, std::span<const std::string> arguments) = 0;
};

/** All commands, in the order of the manual. */
std::vector<std::unique_ptr<ctl_command>> AllCtlCommands();

}  // namespace eelgrass
