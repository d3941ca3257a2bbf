/** \file
 * The live entries and which of them is the planner.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/records/record_table.h"

namespace eelgrass {

/** The identity of this entry. */
struct entry_identity {
  std::string id;
  int64_t incarnation = 0;
  std::string address;  // where agents connect; IP:PORT
  std::string domain;
};

/**
 * Registers this entry in the table service, tracks the other entries, and holds or takes over the
 * planner's row. A holder whose row has not changed for a timeout, measured by the local clock, is
 * considered expired. Holding the row only avoids duplicate work: safety does not depend on there
 * being a single holder.
 */
class entry_directory {
 public:
  entry_directory(entry_identity self, record_table& table);

  void On(const table_event& event, millis now);
  /** Renews the registration; holds, takes over or, if `leaving`, releases the planner's row. */
  void Tick(millis now, int64_t version, bool leaving);

  /** Whether this entry holds the planner's row and has rescanned since its last pause. */
  bool is_planner() const { return holds_planner_row_ && !awaits_rescan_; }

  /** The last known holder of the planner's row; empty if there is none. */
  const std::string& holder() const { return planner_.holder; }

  /** Addresses of this entry and of all live entries that are not leaving. */
  std::vector<std::string> Addresses(millis now) const;

  /** Entries whose row has changed recently; all known ones while the store is down. */
  std::vector<entry_record> Live(millis now) const;

 private:
  struct observed_entry {
    entry_record row;
    millis changed_at;
  };

  void Register(millis now, int64_t version, bool leaving);
  void HoldPlannerRow(millis now, bool leaving);

  const entry_identity self_;
  record_table& table_;
  std::map<std::string, observed_entry, std::less<>> entries_;
  planner_record planner_;
  millis planner_changed_at_{0};
  millis last_tick_{0};
  millis resumed_at_{0};
  millis next_register_{0};
  millis next_renewal_{0};
  int64_t heartbeat_ = 0;
  int64_t registered_version_ = -1;
  bool registered_leaving_ = false;
  bool holds_planner_row_ = false;
  bool awaits_rescan_ = false;
};

}  // namespace eelgrass
