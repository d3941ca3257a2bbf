/** \file
 * Keeps the outcomes of an entry and joins them with those of the others.
 */
#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/model/duty_events.h"
#include "kernel/report/burn_table.h"

namespace eelgrass {

/** An operator wants the report in a format. */
struct report_wanted {
  uint64_t caller = 0;
  std::string format;
};

/** What the object store answered. */
struct snapshot_names {
  std::vector<std::string> names;
};
struct snapshot_read {
  std::string name;
  burn_table table;
};

using report_event =
    std::variant<burn_sample, report_wanted, snapshot_names, snapshot_read, document_changed>;

/** Asks the object store. */
struct write_snapshot {
  std::string name;
  burn_table table;
};
struct list_snapshots {};
struct read_snapshot {
  std::string name;
};

struct report_answer {
  uint64_t caller = 0;
  std::string format;
  burn_report report;
};

using report_action = std::variant<write_snapshot, list_snapshots, read_snapshot, report_answer>;

/**
 * Writes a snapshot of the entry's own outcomes every half minute under a name with its start, and
 * reads those of the others every ten
 * seconds. What a process that was replaced had written is kept; what it had not
 * written yet, half a minute at the most, is lost.
 */
class report_core {
 public:
  explicit report_core(std::string own_name);

  void Decide(std::span<const report_event> events, millis now, millis wall_now,
              std::vector<report_action>& actions);

 private:
  burn_report Report(millis wall_now) const;

  const std::string own_name_;
  std::shared_ptr<const document> document_;
  burn_table own_;
  std::map<std::string, burn_table> others_;
  millis next_snapshot_{0};
  millis next_read_{0};
};

}  // namespace eelgrass
