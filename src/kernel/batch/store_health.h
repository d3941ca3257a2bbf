/** \file
 * Whether the store serves calls of this process.
 */
#pragma once

#include <optional>

#include "kernel/base/millis.h"
#include "kernel/model/rows.h"

namespace eelgrass {

/** Derives the store's availability from call outcomes; logs when it changes. */
class store_health {
 public:
  /** Records the outcome of a call. */
  void RecordOutcome(row_outcome outcome, millis now);

  /** For how long the store has refused or not answered all calls; 0 while it serves them. */
  millis Unserved(millis now) const;

  /** Whether a call was not answered and none was served since. */
  bool silent() const { return silent_; }

 private:
  void RecordUnserved(bool unknown, millis now);

  std::optional<millis> unserved_since_;
  int unserved_calls_ = 0;  // in a row
  bool silent_ = false;
};

}  // namespace eelgrass
