/** \file
 * How the entries find each other.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/** Registers an entry in the store and finds the others there, once after the start. */
class entry_discovery {
 public:
  /** An entry by its id, and where it accepts peers. */
  entry_discovery(std::string node, std::string peer_address);

  /** The call to make now, if any. */
  std::optional<store_request> Next(millis now);

  /** Takes the answer to the last call; returns the addresses of the other entries in it. */
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
