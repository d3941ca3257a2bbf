/** \file
 * The JSON form of the rows in the table service.
 */
#pragma once

#include <string>
#include <string_view>

#include "kernel/base/error.h"
#include "kernel/records/records.h"

namespace eelgrass {

std::string RecordText(const record& value);

/** Reads a row by its key; keys that are not ours are kNotFound. */
result<record> ParseRecord(std::string_view key, std::string_view text);

}  // namespace eelgrass
