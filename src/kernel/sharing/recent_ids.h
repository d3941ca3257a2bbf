/** \file
 * A bounded memory of ids.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "kernel/base/millis.h"

namespace eelgrass {

/** Remembers ids for a time, at most so many: the oldest one is forgotten for a new one. */
class recent_ids {
 public:
  recent_ids(millis keep, size_t most) : keep_(keep), most_(most) {}

  /** Remembers an id from now on; returns false if another one was forgotten before its time. */
  bool Add(std::string_view id, millis now);

  bool Contains(std::string_view id, millis now) const;
  size_t size() const { return added_.size(); }

 private:
  const millis keep_;
  const size_t most_;
  std::map<std::string, millis, std::less<>> added_;     // latest time by id
  std::deque<std::pair<millis, std::string>> in_order_;  // an id's earlier times remain until due
};

}  // namespace eelgrass
