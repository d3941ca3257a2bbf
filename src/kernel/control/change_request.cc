#include "kernel/control/change_request.h"

#include "kernel/config/document_rules.h"
#include "kernel/control/control_core.h"

namespace eelgrass {

bool PrepareChange(control_core& control, const command_origin& origin,
                   const change_request& request, change_record& change) {
  constexpr std::string_view kStep = "take-change";
  const change_record* known = control.changes().Find(request.id);
  if (known != nullptr) {
    control.Answer(origin, change_detail{*known});
    return false;
  }
  const checked_document checked = CheckDocument(request.text);
  if (!checked.valid()) {
    control.Refuse(origin, error_kind::kInvalid, kStep, "the document is not valid",
                   checked.issues);
    return false;
  }
  const document& current = *control.keeper().current();
  change.id = request.id;
  change.author = origin.who.name;
  change.note = request.note;
  change.text = request.text;
  change.base = checked.doc.base;
  change.due_ms = request.due_ms;
  change.emergency = request.emergency;
  change.review_needed = current.review_required && !request.emergency;
  return true;
}

void ApplyAndReply(control_core& control, const command_origin& origin, change_record change) {
  const std::string id = change.id;
  const auto started = control.changes().Apply(std::move(change), control.wall_now());
  if (!started) {
    control.Refuse(origin, started.error().kind, started.error().step, started.error().detail);
    return;
  }
  control.AnswerWhenApplied(origin, id);
}

}  // namespace eelgrass
