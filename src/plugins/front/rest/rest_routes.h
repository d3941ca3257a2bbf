/** \file
 * Which command an operator's HTTP request stands for.
 */
#pragma once

#include <memory>

#include "kernel/base/error.h"
#include "kernel/control/operator_command.h"
#include "kernel/io/http_messages.h"

namespace eelgrass {

/** The command for a request below /v1, or why there is none. */
result<std::unique_ptr<operator_command>> RouteCommand(const http_request& request);

}  // namespace eelgrass
