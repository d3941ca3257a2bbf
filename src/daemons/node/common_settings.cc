#include "daemons/node/common_settings.h"

#include <iostream>

namespace eelgrass {
namespace {
constexpr int kStartFailed = 1;
constexpr size_t kMinKeyLength = 16;
}  // namespace

std::vector<setting_spec> PeerSettings() {
  std::vector<setting_spec> specs;
  const auto plain = [](std::string_view text) {
    return !text.empty() && text.find_first_of(" /\n") == std::string_view::npos;
  };
  specs.push_back({"id", "", "name of this process, unique in the deployment",
                   "a word without spaces or slashes", plain});
  specs.push_back({"domain", "", "failure domain that this process runs in",
                   "a word without spaces or slashes", plain});
  specs.push_back(AddressSetting("peer-listen", "127.0.0.1:0", false,
                                 "address for the system's own processes"));
  specs.push_back({"peer-key", "", "shared key of all processes of the deployment",
                   "at least 16 characters",
                   [](std::string_view text) { return text.size() >= kMinKeyLength; }});
  return specs;
}

hub_options MakeHubOptions(const settings& values, peer_role role, const clock& time) {
  hub_options options;
  options.self.id = values.text("id");
  options.self.incarnation = time.WallNow().count();
  options.self.role = role;
  options.self.address = values.text("peer-listen");
  options.self.domain = values.text("domain");
  options.listen = values.text("peer-listen");
  options.shared_key = values.text("peer-key");
  return options;
}

int ReportStartFailure(const error& problem) {
  std::cerr << "cannot start: " << ToString(problem) << "\n";
  return kStartFailed;
}

}  // namespace eelgrass
