/** \file
 * Differences between documents, and joining changes that were made at the same time.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/error.h"

namespace eelgrass {

/** One entry that differs between two documents. */
struct document_difference {
  std::string place;   // "organisations/jerky", "windows/maipu@17..." or a field's name
  std::string before;  // JSON; empty: it was not there
  std::string after;   // JSON; empty: it is gone
};

/** What differs between two valid documents, entry by entry, without base and version. */
std::vector<document_difference> Differences(std::string_view before, std::string_view after);

/**
 * Applies to `current` what changed from `base` to `wanted`. An entry that both sides have changed
 * in different ways is a kConflict that names all such entries.
 */
result<std::string> MergeDocuments(std::string_view base, std::string_view wanted,
                                   std::string_view current);

}  // namespace eelgrass
