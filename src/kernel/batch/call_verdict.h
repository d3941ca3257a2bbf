/** \file
 * What a configuration says about a call.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kernel/batch/caller_call.h"
#include "kernel/model/batch_config.h"

namespace eelgrass {

/** Whether a call is allowed, and for whom. */
struct call_verdict {
  std::optional<call_answer> refusal;  // none: the call is allowed
  std::string_view detail;             // of the refusal
  std::string queue;
  std::string job;           // id; empty for a whole queue
  std::string organisation;  // empty if calls of the queue need no key
  bool keyed = false;        // the queue's calls need a key
};

/** Checks a call against a configuration, whatever the age of that is. */
call_verdict JudgeCall(const caller_call& call, const batch_config& config);

}  // namespace eelgrass
