#include "kernel/records/records.h"

namespace eelgrass {
namespace {

std::string KeyOf(const job_row& row) { return "jobs/" + row.id; }
std::string KeyOf(const config_record&) { return std::string(kConfigKey); }
std::string KeyOf(const history_record& row) {
  return "config/history/" + std::to_string(row.config.version);
}
std::string KeyOf(const change_record& row) { return "changes/" + row.id; }
std::string KeyOf(const entry_record& row) { return "entries/" + row.id; }
std::string KeyOf(const planner_record&) { return std::string(kPlannerKey); }

}  // namespace

std::string_view ChangeStateName(change_state value) {
  constexpr std::string_view kNames[] = {"booked", "reviewed", "applied", "withdrawn", "failed"};
  return kNames[static_cast<int>(value)];
}

std::string RecordKey(const record& value) {
  return std::visit([](const auto& row) { return KeyOf(row); }, value);
}

}  // namespace eelgrass
