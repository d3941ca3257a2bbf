#include "kernel/requests/key_placement.h"

#include <algorithm>
#include <cstdint>

#include "kernel/base/digest.h"

namespace eelgrass {

key_placement PlaceKey(std::string_view key, std::span<const std::string_view> agents) {
  struct scored {
    uint64_t score;
    std::string_view agent;
  };
  std::vector<scored> ranked;
  for (const auto agent : agents) {
    ranked.push_back({Sha256Prefix(std::string(agent) + "\n" + std::string(key)), agent});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const scored& a, const scored& b) { return a.score > b.score; });
  key_placement placement;
  placement.home = ranked.front().agent;
  for (size_t i = 1; i < ranked.size() && i <= kClaimCopies; ++i) {
    placement.claim_holders.emplace_back(ranked[i].agent);
  }
  return placement;
}

}  // namespace eelgrass
