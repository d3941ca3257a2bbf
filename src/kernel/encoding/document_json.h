/** \file
 * The JSON form of the configuration document and of job specifications.
 */
#pragma once

#include <string>
#include <string_view>

#include "kernel/base/error.h"
#include "kernel/model/document.h"
#include "kernel/model/job.h"

namespace eelgrass {

/** Longest document and deepest nesting that are read. */
inline constexpr size_t kMaxDocumentBytes = 4 << 20;
inline constexpr int kMaxJsonDepth = 32;

/** Reads a document that has passed the schema; other text is an error, never an exception. */
result<document> ParseDocument(std::string_view text);

std::string DocumentText(const document& doc);

/** Reads a job specification. Unknown fields are errors. */
result<job_spec> ParseJobSpec(std::string_view text);

/** Whether the text is JSON within the bounds on size and depth. */
result<void> CheckJsonBounds(std::string_view text, size_t max_bytes);

}  // namespace eelgrass
