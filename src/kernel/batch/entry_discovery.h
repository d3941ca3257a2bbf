/** \file
 * Discovery of the other entries through the store.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/** Registers an entry in the store and reads the other entries from there, once after startup. */
class entry_discovery {
 public:
  /** `node`: id of this entry; `peer_address`: on which it accepts peers. */
  entry_discovery(std::string node, std::string peer_address);

  /** The call that is due, if any. */
  std::optional<store_request> Next(millis now);

  /** Handles the answer to the last call; returns the addresses of the other entries in it. */
  std::vector<std::string> On(const store_reply& reply, millis now);

 private:
  const std::string node_;
  const std::string peer_address_;
  bool call_pending_ = false;
  bool registered_ = false;  // this entry's row is written
  bool read_ = false;
  millis next_{0};
};

}  // namespace eelgrass
