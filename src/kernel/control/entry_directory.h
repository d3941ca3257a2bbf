/** \file
 * The entries that take part, and which of them plans.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/records/record_table.h"

namespace eelgrass {

/** Who this entry is. */
struct entry_identity {
  std::string id;
  int64_t incarnation = 0;
  std::string address;  // for agents; IP:PORT
  std::string domain;
};

/**
 * Registers this entry in the table service, follows the others, and holds or takes over the
 * planner's row. A holder whose row does not change for a while, by our own clock, has lapsed.
 * Holding the row saves work; it does not have to be exclusive for anything to be safe.
 */
class entry_directory {
 public:
  entry_directory(entry_identity self, record_table& table);

  void On(const table_event& event, millis now);
  void Tick(millis now, int64_t version, bool leaving);

  /** Whether this entry plans. */
  bool is_planner() const { return holds_planner_row_ && !awaits_rescan_; }

  /** Who holds the planner's row, as far as is known. */
  const std::string& holder() const { return planner_.holder; }

  /** Addresses of all live entries, this one included. */
  std::vector<std::string> Addresses(millis now) const;

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
