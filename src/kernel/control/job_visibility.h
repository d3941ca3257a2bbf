/** \file
 * Access control for jobs.
 */
#pragma once

#include <string_view>

#include "kernel/config/access_list.h"
#include "kernel/model/job.h"

namespace eelgrass {

class record_table;

/** The stored row of the job; null if there is none or if `who` may not see it. */
const job_row* FindVisibleJob(const record_table& table, const principal& who, std::string_view id);

}  // namespace eelgrass
