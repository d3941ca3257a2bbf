/** \file
 * Where a keyed request runs and where its claims are kept.
 */
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass {

/** Agents, besides the home, at which a key is claimed before the request runs. */
inline constexpr size_t kClaimCopies = 2;

/**
 * The home of a key and the agents that hold its claims, by rendezvous hashing. When agents leave
 * the view, the next in rank becomes the home, and it holds the claim already. Two views that
 * differ by at most kClaimCopies agents therefore share an agent that sees both requests.
 */
struct key_placement {
  std::string home;
  std::vector<std::string> claim_holders;
};

/** Ranks the agents for a key. `agents` must not be empty. */
key_placement PlaceKey(std::string_view key, std::span<const std::string_view> agents);

}  // namespace eelgrass
