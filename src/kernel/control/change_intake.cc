#include "kernel/control/change_intake.h"

#include "kernel/config/document_rules.h"
#include "kernel/control/control_core.h"

namespace eelgrass {

bool TakeChange(control_core& desk, const command_origin& origin, const change_request& request,
                change_record& change) {
  constexpr std::string_view kStep = "take-change";
  const change_record* known = desk.changes().Find(request.id);
  if (known != nullptr) {
    desk.Answer(origin, change_detail{*known});
    return false;
  }
  const checked_document checked = CheckDocument(request.text);
  if (!checked.valid()) {
    desk.Refuse(origin, error_kind::kInvalid, kStep, "the document is not valid", checked.issues);
    return false;
  }
  const document& today = *desk.keeper().current();
  change.id = request.id;
  change.author = origin.who.name;
  change.note = request.note;
  change.text = request.text;
  change.base = checked.doc.base;
  change.due_ms = request.due_ms;
  change.emergency = request.emergency;
  change.review_needed = today.review_required && !request.emergency;
  return true;
}

void ApplyNow(control_core& desk, const command_origin& origin, change_record change) {
  const std::string id = change.id;
  const auto begun = desk.changes().Apply(std::move(change), desk.wall_now());
  if (!begun) {
    desk.Refuse(origin, begun.error().kind, begun.error().step, begun.error().detail);
    return;
  }
  desk.AnswerWhenApplied(origin, id);
}

}  // namespace eelgrass
