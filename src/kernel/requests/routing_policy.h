/** \file
 * Interface of the routing plug-ins, which choose the upstream agent for a request.
 */
#pragma once

#include <optional>
#include <span>
#include <string_view>

#include "kernel/base/plugin_registry.h"

namespace eelgrass {

/** An upstream agent that can accept a request now. */
struct route_candidate {
  std::string_view agent;
  std::string_view domain;
  int free_credits = 0;
  int in_flight = 0;
  double mean_service_ms = 0;
};

/** Chooses an upstream agent. Each entry has an object of its own, used by one thread only. */
class routing_policy {
 public:
  virtual ~routing_policy() = default;

  /** Returns the index of the chosen candidate. Every candidate has a free credit. */
  virtual std::optional<size_t> Choose(std::span<const route_candidate> candidates,
                                       std::string_view own_domain) = 0;
};

using routing_registry = plugin_registry<routing_policy>;

template <typename Implementation>
using routing_registration = plugin_registration<routing_registry, routing_policy, Implementation>;

}  // namespace eelgrass
