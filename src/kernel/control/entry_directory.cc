#include "kernel/control/entry_directory.h"

namespace eelgrass {
namespace {

constexpr millis kRegisterInterval{5000};
constexpr millis kEntryTimeout{16000};
constexpr millis kPlannerRenewInterval{1000};
constexpr millis kPlannerTimeout{4000};
constexpr millis kPauseThreshold{2000};  // gap between ticks after which a rescan is required

}  // namespace

entry_directory::entry_directory(entry_identity self, record_table& table)
    : self_(std::move(self)), table_(table) {}

void entry_directory::On(const table_event& event, millis now) {
  if (const auto* entry = std::get_if<entry_record>(&event.value)) {
    entries_[entry->id] = {*entry, now};
  } else if (const auto* planner = std::get_if<planner_record>(&event.value)) {
    planner_ = *planner;
    planner_changed_at_ = now;
    holds_planner_row_ = planner->holder == self_.id && planner->incarnation == self_.incarnation;
  }
}

void entry_directory::Tick(millis now, int64_t version, bool leaving) {
  if (last_tick_ > millis(0) && now - last_tick_ > kPauseThreshold) {
    awaits_rescan_ = true;
    resumed_at_ = now;
  }
  last_tick_ = now;
  if (awaits_rescan_ && table_.last_scan() >= resumed_at_) awaits_rescan_ = false;
  if (!table_.loaded()) return;
  Register(now, version, leaving);
  HoldPlannerRow(now, leaving);
}

void entry_directory::Register(millis now, int64_t version, bool leaving) {
  const bool state_changed = version != registered_version_ || leaving != registered_leaving_;
  if ((!state_changed && now < next_register_) || table_.Busy("entries/" + self_.id)) return;
  next_register_ = now + kRegisterInterval;
  registered_version_ = version;
  registered_leaving_ = leaving;
  table_.Want(entry_record{self_.id, self_.incarnation, self_.address, self_.domain, version,
                           leaving, ++heartbeat_},
              write_rank::kFirst);
}

void entry_directory::HoldPlannerRow(millis now, bool leaving) {
  if (table_.Busy(kPlannerKey)) return;
  const bool vacant = planner_.holder.empty() || now - planner_changed_at_ >= kPlannerTimeout;
  if (leaving) {
    if (!holds_planner_row_) return;
    table_.Want(planner_record{{}, 0, planner_.beat + 1}, write_rank::kFirst);
    holds_planner_row_ = false;
    return;
  }
  const bool renew = holds_planner_row_ && now >= next_renewal_;
  if (!renew && !(vacant && !holds_planner_row_)) return;
  next_renewal_ = now + kPlannerRenewInterval;
  table_.Want(planner_record{self_.id, self_.incarnation, planner_.beat + 1}, write_rank::kFirst);
}

std::vector<entry_record> entry_directory::Live(millis now) const {
  std::vector<entry_record> live;
  for (const auto& [id, entry] : entries_) {
    const bool lapsed = now - entry.changed_at > kEntryTimeout && !table_.store_down();
    if (!lapsed) live.push_back(entry.row);
  }
  return live;
}

std::vector<std::string> entry_directory::Addresses(millis now) const {
  std::vector<std::string> addresses{self_.address};
  for (const auto& entry : Live(now)) {
    if (!entry.leaving && entry.address != self_.address) addresses.push_back(entry.address);
  }
  return addresses;
}

}  // namespace eelgrass
