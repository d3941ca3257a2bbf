/** \file
 * The input of the policies that order ready units.
 */
#pragma once

#include "kernel/base/millis.h"

namespace eelgrass {

class guaranteed_jobs;
class usage_ledger;

/** What an order may consider besides the job and its queue. */
struct order_input {
  millis now;
  const guaranteed_jobs& guaranteed;
  const usage_ledger* usage = nullptr;  // nullptr: usage is not measured
};

}  // namespace eelgrass
