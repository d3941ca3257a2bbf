#include "tests/world/fake_operators.h"

#include <memory>
#include <string>

namespace eelgrass {
namespace {

batch_config UsualConfig() {
  batch_config config;
  config.version = 1;
  const auto queue = [](const std::string& name, int priority, double stretch) {
    batch_queue made;
    made.name = name;
    made.host = "site";
    made.path_prefix = "/" + name + "/";
    made.service = "drying";
    made.priority = priority;
    made.attempts = 3;
    made.stretch = stretch;
    made.target_latency = millis(1000);
    return made;
  };
  config.queues = {queue("urgent", 0, 1.5), queue("usual", 1, 3), queue("batch", 2, 3)};
  config.services.push_back({"drying", true, false});
  config.organisations.push_back({"shops", {"key-shops"}, 16});
  config.organisations.push_back({"brokers", {"key-brokers"}, 8});
  return config;
}

}  // namespace

fake_operators::fake_operators(standin_rows& rows) : rows_(rows), config_(UsualConfig()) {
  Configure([](batch_config&) {});
}

void fake_operators::Configure(const std::function<void(batch_config&)>& edit) {
  edit(config_);
  ++config_.version;
  row_transaction change;
  change.writes.push_back({config_row(), std::to_string(config_.version)});
  rows_.Apply(change);
}

void fake_operators::Evacuate(std::string_view domain, bool out) {
  row_transaction change;
  const row_key at{"operators", "", std::string(domain)};
  if (out) {
    change.writes.push_back({at, "{}"});
  } else {
    change.removals.push_back(at);
  }
  rows_.Apply(change);
}

result<void> fake_operators::Apply(const row& change, millis, operator_state& state) const {
  if (change.at.key == "config") {
    state.config = std::make_shared<const batch_config>(config_);
    state.config_revision = change.revision;
  } else if (change.deleted) {
    state.evacuated.erase(change.at.key);
  } else {
    state.evacuated.insert(change.at.key);
  }
  return Ok();
}

}  // namespace eelgrass
