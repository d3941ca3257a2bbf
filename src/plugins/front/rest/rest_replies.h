/** \file
 * JSON forms of what operators are told.
 */
#pragma once

#include "kernel/control/operator_reply.h"
#include "kernel/io/http_messages.h"

namespace eelgrass {

/** HTTP status for an error. */
int StatusOf(error_kind kind);

/** A problem document (RFC 9457) with reason, step and peer. */
http_response ProblemResponse(int status, const error& problem, const document_issues& issues = {});

/** The response for an operator's answer. */
http_response ViewResponse(const operator_reply& view);

}  // namespace eelgrass
