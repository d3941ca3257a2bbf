#include "kernel/config/change_book.h"

#include "kernel/config/document_merge.h"
#include "kernel/config/document_rules.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

std::string HistoryKey(int64_t version) { return "config/history/" + std::to_string(version); }

}  // namespace

change_book::change_book(record_table& table) : table_(table) {}

result<void> change_book::Apply(change_record change, millis wall_now) {
  constexpr std::string_view kStep = "apply-change";
  const stored_record* row = table_.Find(kConfigKey);
  const int64_t current = row != nullptr ? std::get<config_record>(row->value).version : 0;
  if (!table_.loaded()) {
    return eelgrass::Fail(error_kind::kUnavailable, kStep, "",
                          "the table service was not read yet");
  }
  if (change.base != current) {
    std::string detail = "the document is based on version " + std::to_string(change.base) +
                         ", in force is " + std::to_string(current);
    if (row != nullptr) {
      const auto& other = std::get<config_record>(row->value);
      detail += ", written by change " + other.change + " of " + other.author;
    }
    return eelgrass::Fail(error_kind::kConflict, kStep, "", detail);
  }
  const std::string change_key = "changes/" + change.id;
  if (table_.Busy(kConfigKey) || table_.Busy(change_key)) {
    return eelgrass::Fail(error_kind::kConflict, kStep, "", "another change is being applied");
  }
  auto parsed = ParseDocument(change.text);
  if (!parsed) return std::move(parsed.error());
  document doc = std::move(parsed.value());
  doc.version = current + 1;
  doc.base = current;
  change.state = change_state::kApplied;
  change.applied_version = doc.version;
  config_record config;
  config.version = doc.version;
  config.text = DocumentText(doc);
  config.change = change.id;
  config.author = change.author;
  config.at_ms = wall_now.count();
  applying_[change.id] = change;
  table_.WantTogether({config, history_record{config}, change});
  return Ok();
}

void change_book::On(const table_event& event) {
  if (const auto* change = std::get_if<change_record>(&event.value)) {
    const auto ours = applying_.find(change->id);
    const bool settled = event.what != table_event::kind::kChanged;
    if (ours != applying_.end() && settled) {
      const change_record mine = ours->second;
      applying_.erase(ours);
      Conclude(mine, event);
    }
    const stored_record* row = table_.Find("changes/" + change->id);
    if (row != nullptr) changes_[change->id] = std::get<change_record>(row->value);
  }
}

void change_book::Conclude(const change_record& ours, const table_event& event) {
  change_outcome outcome;
  outcome.change = ours.id;
  const stored_record* row = table_.Find("changes/" + ours.id);
  const change_record* stored = row != nullptr ? &std::get<change_record>(row->value) : nullptr;
  const bool applied = stored != nullptr && stored->state == change_state::kApplied;
  if (event.what == table_event::kind::kWritten || applied) {
    outcome.applied = true;
    outcome.version = applied ? stored->applied_version : ours.applied_version;
  } else {
    const stored_record* config = table_.Find(kConfigKey);
    std::string detail = "another change was faster";
    if (config != nullptr) {
      const auto& other = std::get<config_record>(config->value);
      detail = "lost against change " + other.change + " of " + other.author +
               ", which made version " + std::to_string(other.version);
    }
    outcome.problem = {error_kind::kConflict, "apply-change", "", detail};
  }
  outcomes_.push_back(std::move(outcome));
}

void change_book::Tick(millis wall_now, bool leading) {
  if (!leading || !table_.loaded() || table_.store_down()) return;
  std::vector<change_record> due;
  for (const auto& [id, change] : changes_) {
    const bool ready = change.state == change_state::kReviewed ||
                       (change.state == change_state::kBooked && !change.review_needed);
    if (ready && change.due_ms <= wall_now.count()) due.push_back(change);
  }
  for (const auto& change : due) ApplyDue(change, wall_now);
}

void change_book::ApplyDue(const change_record& change, millis wall_now) {
  const std::string key = "changes/" + change.id;
  if (table_.Busy(kConfigKey) || table_.Busy(key) || applying_.contains(change.id)) return;
  const stored_record* base = table_.Find(HistoryKey(change.base));
  const stored_record* current = table_.Find(kConfigKey);
  if (base == nullptr || current == nullptr) {
    Fail(change, "the version it was made from is not known");
    return;
  }
  const auto& now = std::get<config_record>(current->value);
  auto merged =
      MergeDocuments(std::get<history_record>(base->value).config.text, change.text, now.text);
  if (!merged) {
    Fail(change, merged.error().detail);
    return;
  }
  const checked_document checked = CheckDocument(merged.value());
  if (!checked.valid()) {
    Fail(change, "no longer valid: " + checked.issues.front().pointer + " " +
                     checked.issues.front().problem);
    return;
  }
  change_record merged_change = change;
  merged_change.text = merged.value();
  merged_change.base = now.version;
  const auto begun = Apply(std::move(merged_change), wall_now);
  if (!begun && begun.error().kind == error_kind::kInvalid) Fail(change, begun.error().detail);
}

void change_book::Fail(change_record change, std::string_view reason) {
  change.state = change_state::kFailed;
  change.reason = reason;
  changes_[change.id] = change;
  Write(std::move(change));
}

const change_record* change_book::Find(std::string_view id) const {
  const auto found = changes_.find(id);
  return found == changes_.end() ? nullptr : &found->second;
}

std::vector<change_record> change_book::All() const {
  std::vector<change_record> all;
  for (const auto& [id, change] : changes_) all.push_back(change);
  return all;
}

std::vector<change_outcome> change_book::TakeOutcomes() {
  std::vector<change_outcome> taken;
  taken.swap(outcomes_);
  return taken;
}

}  // namespace eelgrass
