/** \file
 * How messages between processes are written: the interface of the codec plug-ins.
 */
#pragma once

#include <string>
#include <string_view>

#include "kernel/base/plugin_registry.h"
#include "kernel/model/messages.h"

namespace eelgrass {

/** Encodes and decodes peer messages. Stateless and safe to use from every thread. */
class peer_codec {
 public:
  virtual ~peer_codec() = default;
  virtual std::string Encode(const peer_message& message) const = 0;

  /** Fails with kInvalid on anything that Encode does not write. */
  virtual result<peer_message> Decode(std::string_view frame) const = 0;
};

using codec_registry = plugin_registry<peer_codec>;

template <typename Implementation>
using codec_registration = plugin_registration<codec_registry, peer_codec, Implementation>;

}  // namespace eelgrass
