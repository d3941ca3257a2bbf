/** \file
 * Whether the store serves this process.
 */
#pragma once

#include <optional>

#include "kernel/base/millis.h"
#include "kernel/model/rows.h"

namespace eelgrass {

/** What the outcomes of a process's calls say of the store; logs when it is lost and regained. */
class store_health {
 public:
  /** Takes the outcome of a call. */
  void RecordOutcome(row_outcome outcome, millis now);

  /** For how long the store has turned away or left unanswered all calls; 0 while it serves. */
  millis Unserved(millis now) const;

  /** A call was left unanswered, and none was served since. */
  bool silent() const { return silent_; }

 private:
  void RecordUnserved(bool unknown, millis now);

  std::optional<millis> unserved_since_;
  int unserved_calls_ = 0;  // in a row
  bool silent_ = false;
};

}  // namespace eelgrass
