#include "kernel/control/commands/show_config_command.h"

#include "kernel/control/control_core.h"

namespace eelgrass {

void show_config_command::Run(control_core& control, const command_origin& origin) {
  const std::string key =
      version_ == 0 ? std::string(kConfigKey) : "config/history/" + std::to_string(version_);
  const stored_record* row = control.table().Find(key);
  if (row == nullptr) {
    control.Refuse(origin, error_kind::kNotFound, "show-config",
                   "the configuration version does not exist");
    return;
  }
  const auto* past = std::get_if<history_record>(&row->value);
  control.Answer(
      origin, config_detail{past != nullptr ? past->config : std::get<config_record>(row->value)});
}

}  // namespace eelgrass
