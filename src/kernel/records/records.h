/** \file
 * What the system keeps in the platform's table service.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/model/job.h"

namespace eelgrass {

/** The configuration in force. One row, replaced by conditional writes only. */
struct config_record {
  int64_t version = 0;
  std::string text;    // the document
  std::string change;  // id of the change that wrote it
  std::string author;
  int64_t at_ms = 0;  // wall time
  bool operator==(const config_record&) const = default;
};

/** A past configuration. */
struct history_record {
  config_record config;
  bool operator==(const history_record&) const = default;
};

/** State of a booked change. */
enum class change_state { kBooked, kReviewed, kApplied, kWithdrawn, kFailed };

std::string_view ChangeStateName(change_state value);

/** A change of configuration that was booked ahead. */
struct change_record {
  std::string id;
  std::string author;
  std::string reviewer;
  std::string note;
  std::string text;    // the whole document as its author wants it
  int64_t base = 0;    // version it was made from
  int64_t due_ms = 0;  // wall time at which it takes effect
  bool review_needed = false;
  bool emergency = false;
  change_state state = change_state::kBooked;
  int64_t applied_version = 0;
  std::string reason;
  bool operator==(const change_record&) const = default;
};

/** An entry that takes part. Refreshed every few seconds. */
struct entry_record {
  std::string id;
  int64_t incarnation = 0;
  std::string address;  // for agents; IP:PORT
  std::string domain;
  int64_t version = 0;  // of the configuration in force there
  bool leaving = false;
  int64_t beat = 0;  // raised at every refresh
  bool operator==(const entry_record&) const = default;
};

/** Which entry plans jobs. Advisory: agents and job rows arbitrate. */
struct planner_record {
  std::string holder;
  int64_t incarnation = 0;
  int64_t beat = 0;  // raised at every renewal
  bool operator==(const planner_record&) const = default;
};

using record = std::variant<job_row, config_record, history_record, change_record, entry_record,
                            planner_record>;

/** The key of a record's row, such as "jobs/17". */
std::string RecordKey(const record& value);

inline constexpr std::string_view kConfigKey = "config/current";
inline constexpr std::string_view kPlannerKey = "planner";

/** A row: a record and the revision of the table at which it was written. */
struct stored_record {
  int64_t revision = 0;
  record value;
};

/** One conditional write of a transaction. */
struct record_write {
  int64_t expected = 0;  // revision of the row that is replaced; 0: there is none
  record value;
};

/** Rows changed since a revision, oldest first. */
struct scan_changes {
  int64_t since = 0;
};

/** All or nothing; at most a few rows. */
struct write_records {
  std::vector<record_write> writes;
};

/** A call to the table service. */
struct store_call {
  uint64_t token = 0;  // returned with the answer
  std::variant<scan_changes, write_records> what;
};

/** How a call ended. */
enum class store_status {
  kOk,
  kConflict,     // A row was not at the expected revision; nothing was written.
  kUnavailable,  // Nothing was written.
  kUnknown,      // It may have been written; read back.
};

/** The answer to a store_call. */
struct store_answer {
  uint64_t token = 0;
  store_status status = store_status::kUnknown;
  int64_t revision = 0;                // of the table after the call
  bool more = false;                   // the scan has further rows
  std::vector<stored_record> records;  // of a scan; or the rows in conflict
};

}  // namespace eelgrass
