/** \file
 * The store's clock, which all entries share.
 */
#pragma once

#include <optional>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Relates the store's steady clock to the clock of this process, by what answers show. */
class store_clock {
 public:
  /** An answer showed the store's time when this process's was `own`. A time of 0 shows nothing. */
  void Update(millis store, millis own) {
    if (store > millis(0)) offset_ = store - own;
  }

  /** The store's time at a time of this process; none: no answer has shown it yet. */
  std::optional<millis> StoreAt(millis own) const {
    if (!offset_) return std::nullopt;
    return own + *offset_;
  }

  /** The time of this process at a time of the store; none: no answer has shown it yet. */
  std::optional<millis> OwnAt(millis store) const {
    if (!offset_) return std::nullopt;
    return store - *offset_;
  }

 private:
  std::optional<millis> offset_;
};

}  // namespace eelgrass
