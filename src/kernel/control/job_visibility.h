/** \file
 * Which jobs a caller may see.
 */
#pragma once

#include <string_view>

#include "kernel/config/access_list.h"
#include "kernel/model/job.h"

namespace eelgrass {

class record_table;

/** The job's row as it is stored; null when there is none or it is another organisation's. */
const job_row* FindVisibleJob(const record_table& table, const principal& who, std::string_view id);

}  // namespace eelgrass
