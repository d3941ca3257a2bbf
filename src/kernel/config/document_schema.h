/** \file
 * The published JSON Schema of the document, and checking against it.
 */
#pragma once

#include <string_view>

#include "kernel/config/document_issue.h"

namespace eelgrass {

/** The schema, JSON Schema draft 7. `eelgrassctl config schema` prints it. */
std::string_view DocumentSchema();

/** All places where the text does not follow the schema. Checks the bounds on JSON first. */
document_issues CheckSchema(std::string_view text);

}  // namespace eelgrass
