/** \file
 * Agents that run a request with an idempotency key or hold the key's claims.
 */
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass {

/** Number of agents, besides the home, at which a key is claimed before the request runs. */
inline constexpr size_t kClaimCopies = 2;

/**
 * The home of a key, where its request runs, and the agents that hold its claims, chosen by
 * rendezvous hashing. When the home is no longer available, the next agent in rank becomes the
 * home; it already holds the claim. Two entries whose sets of available agents differ by at most
 * kClaimCopies agents therefore share an agent that receives both requests.
 */
struct key_placement {
  std::string home;
  std::vector<std::string> claim_holders;
};

/** Places a key on the agents, which must not be empty. */
key_placement PlaceKey(std::string_view key, std::span<const std::string_view> agents);

}  // namespace eelgrass
