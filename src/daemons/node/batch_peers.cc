#include "daemons/node/batch_peers.h"

namespace eelgrass {
namespace {

/**
 * The platform provides no secret for its nodes because their network is closed to others. The
 * handshake still rejects processes of other products and deployments.
 */
constexpr std::string_view kPeerKey = "eelgrasshaven-batch-1";

std::string PeerAddress(std::string_view address, int port) {
  return std::string(address.substr(0, address.rfind(':'))) + ":" + std::to_string(port);
}

}  // namespace

hub_options MakeBatchHubOptions(const deployment& place, peer_role role, const clock& time) {
  hub_options options;
  options.self.id = place.node;
  options.self.incarnation = time.WallNow().count();
  options.self.role = role;
  options.self.domain = place.domain;
  options.self.processor = place.processor;
  options.shared_key = kPeerKey;
  if (role == peer_role::kEntry) {
    options.listen = PeerAddress(place.ip + ":0", place.first_port);
    options.self.address = options.listen;
  }
  return options;
}

std::string MetricsAddress(const deployment& place) {
  return PeerAddress(place.ip + ":0", place.last_port);
}

std::vector<std::string> SeedAddresses(const deployment& place) {
  const std::string own = PeerAddress(place.ip + ":0", place.first_port);
  std::vector<std::string> addresses;
  for (const auto& seed : place.seeds) {
    std::string address = PeerAddress(seed, place.first_port);
    if (address != own) addresses.push_back(std::move(address));
  }
  return addresses;
}

}  // namespace eelgrass
