/** \file
 * The store's clock, the common time base of all entries.
 */
#pragma once

#include <optional>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Converts between the store's steady clock and this process's clock by the offset in answers. */
class store_clock {
 public:
  /** Records the store's time at the time `own` of this process. A `store` of 0 is ignored. */
  void Update(millis store, millis own) {
    if (store > millis(0)) offset_ = store - own;
  }

  /** The store's time at a time of this process; none: the offset is not known yet. */
  std::optional<millis> StoreAt(millis own) const {
    if (!offset_) return std::nullopt;
    return own + *offset_;
  }

  /** The time of this process at a time of the store; none: the offset is not known yet. */
  std::optional<millis> OwnAt(millis store) const {
    if (!offset_) return std::nullopt;
    return store - *offset_;
  }

 private:
  std::optional<millis> offset_;
};

}  // namespace eelgrass
