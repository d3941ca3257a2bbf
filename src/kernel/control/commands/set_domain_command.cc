#include "kernel/control/commands/set_domain_command.h"

#include <algorithm>

#include "kernel/control/change_request.h"
#include "kernel/control/control_core.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {

void set_domain_command::Run(control_core& control, const command_origin& origin) {
  constexpr std::string_view kStep = "set-domain";
  document next = *control.keeper().current();
  const auto entry = std::find_if(next.domains.begin(), next.domains.end(),
                                  [this](const auto& d) { return d.name == domain_; });
  if (entry == next.domains.end()) {
    control.Refuse(origin, error_kind::kNotFound, kStep, "the failure domain does not exist");
    return;
  }
  entry->out = out_;
  entry->out_mode = mode_;
  next.base = next.version;
  change_request request;
  request.id = id_;
  request.text = DocumentText(next);
  request.note = std::string(out_ ? "out: " : "in: ") + domain_;
  request.emergency = true;
  change_record change;
  if (PrepareChange(control, origin, request, change)) {
    ApplyAndReply(control, origin, std::move(change));
  }
}

}  // namespace eelgrass
