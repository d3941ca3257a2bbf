#include "kernel/encoding/record_json.h"

#include "kernel/encoding/json_fields.h"

namespace eelgrass {

NLOHMANN_JSON_SERIALIZE_ENUM(job_state, {{job_state::kQueued, "queued"},
                                         {job_state::kStarting, "starting"},
                                         {job_state::kRunning, "running"},
                                         {job_state::kStopping, "stopping"},
                                         {job_state::kFinished, "finished"},
                                         {job_state::kFailed, "failed"},
                                         {job_state::kParked, "parked"},
                                         {job_state::kCancelled, "cancelled"},
                                         {job_state::kUnknown, "unknown"}})
NLOHMANN_JSON_SERIALIZE_ENUM(change_state, {{change_state::kBooked, "booked"},
                                            {change_state::kReviewed, "reviewed"},
                                            {change_state::kApplied, "applied"},
                                            {change_state::kWithdrawn, "withdrawn"},
                                            {change_state::kFailed, "failed"}})
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_row, id, spec, state, epoch, cancel_wanted,
                                                borrowing, submitted_ms, started_ms, ended_ms,
                                                saved_ms, members, anchor_incarnation,
                                                failed_workers, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(config_record, version, text, change, author, at_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(history_record, config)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(change_record, id, author, reviewer, note, text,
                                                base, due_ms, review_needed, emergency, state,
                                                applied_version, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(entry_record, id, incarnation, address, domain,
                                                version, leaving, beat)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(planner_record, holder, incarnation, beat)

namespace {

using json = nlohmann::json;

template <typename T>
record ReadAs(const json& tree) {
  return tree.get<T>();
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

std::string RecordText(const record& value) {
  return std::visit([](const auto& row) { return json(row).dump(); }, value);
}

result<record> ParseRecord(std::string_view key, std::string_view text) {
  try {
    const json tree = json::parse(text);
    if (StartsWith(key, "jobs/")) return ReadAs<job_row>(tree);
    if (key == kConfigKey) return ReadAs<config_record>(tree);
    if (StartsWith(key, "config/history/")) return ReadAs<history_record>(tree);
    if (StartsWith(key, "changes/")) return ReadAs<change_record>(tree);
    if (StartsWith(key, "entries/")) return ReadAs<entry_record>(tree);
    if (key == kPlannerKey) return ReadAs<planner_record>(tree);
  } catch (const json::exception& problem) {
    return Fail(error_kind::kInvalid, "read-row", key, problem.what());
  }
  return Fail(error_kind::kNotFound, "read-row", key, "not a row of this system");
}

}  // namespace eelgrass
