/** \file
 * The JSON form of outcomes in the object store.
 */
#pragma once

#include <string>
#include <string_view>

#include "kernel/base/error.h"
#include "kernel/report/burn_table.h"

namespace eelgrass {

std::string BurnTableText(const burn_table& table);
result<burn_table> ParseBurnTable(std::string_view text);

}  // namespace eelgrass
