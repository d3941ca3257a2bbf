/** \file
 * An entry's view of the table service and the writes it has under way.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/records/records.h"

namespace eelgrass {

/** What the table tells its user. */
struct table_event {
  enum class kind {
    kChanged,   // the stored row is new or has changed
    kWritten,   // a wanted write is in the store
    kConflict,  // a wanted write lost against another; `value` is the row in the store
  };
  kind what = kind::kChanged;
  std::string key;
  record value;
  int64_t revision = 0;
};

/** How eagerly a write is sent. */
enum class write_rank { kFirst, kBulk };

/**
 * Follows the table service by scans for changes, and writes rows conditionally. A write whose
 * answer is lost is sent again with the same condition; if the first one took effect, the second
 * meets its own row and counts as written. Calls in flight and their rate are bounded; bulk writes
 * share transactions and wait for the others.
 */
class record_table {
 public:
  /** `writes_per_second` and `scan_interval` are this process's share of the store's budget. */
  record_table(int writes_per_second, millis scan_interval);

  /** Wants a row to replace the one known now. A later want replaces an unsent one. */
  void Want(record value, write_rank rank);

  /** Wants several rows in one transaction; no other write of these rows may be under way. */
  void WantTogether(std::vector<record> values);

  /** Whether a write of the row is wanted or under way. */
  bool Busy(std::string_view key) const;

  const stored_record* Find(std::string_view key) const;

  /** All jobs, in the order of their ids. */
  std::vector<const job_row*> Jobs() const;

  /** Drops rows of jobs that ended before `ended_before_ms` (wall time) from memory only. */
  void DropEnded(int64_t ended_before_ms);

  void OnAnswer(const store_answer& answer, millis now, std::vector<table_event>& events);

  /** Calls that are due. */
  void Due(millis now, std::vector<store_call>& calls);

  /** Asks for a scan at once, such as when an operator waits for it. */
  void ScanSoon() { next_scan_ = millis(0); }

  /** Time of the last successful scan's start; the view is at least that fresh. */
  millis last_scan() const { return last_scan_; }

  /** Whether the last call failed. */
  bool store_down() const { return failures_in_row_ >= 2; }

  /** Whether the first complete scan is done. */
  bool loaded() const { return loaded_; }

  int64_t writes_sent() const { return writes_sent_; }
  int64_t scans_sent() const { return scans_sent_; }
  size_t waiting() const { return first_.size() + bulk_.size() + groups_.size(); }

 private:
  struct want {
    record value;
    int64_t expected = 0;  // revision that the value was derived from
    write_rank rank = write_rank::kFirst;
    bool sent = false;           // under way, or may have taken effect
    bool alone = false;          // bulk transactions failed with it
    std::optional<record> next;  // a later want, sent once this one has settled
  };

  struct call {
    std::vector<std::string> keys;  // empty: a scan
    std::vector<record> values;
    bool grouped = false;  // keys must be written together
    millis started;
  };

  void Enqueue(const std::string& key, write_rank rank);
  void SendScan(millis now, std::vector<store_call>& calls);
  void SendWrites(millis now, std::vector<store_call>& calls);
  bool SendGroup(millis now, std::vector<store_call>& calls);
  bool SendSingles(millis now, std::vector<store_call>& calls);
  void SendCall(call item, millis now, std::vector<store_call>& calls);
  void OnScan(const store_answer& answer, millis started, std::vector<table_event>& events);
  void OnWritten(const call& item, int64_t revision, std::vector<table_event>& events);
  void OnConflict(const call& item, const store_answer& answer, std::vector<table_event>& events);
  void Settle(const std::string& key, table_event::kind what, const stored_record& row,
              std::vector<table_event>& events);
  int64_t RevisionOf(std::string_view key) const;
  bool Learn(const stored_record& row);
  void Retry(const call& item, millis now);

  const double writes_per_ms_;
  const millis scan_interval_;
  std::map<std::string, stored_record, std::less<>> rows_;
  std::map<std::string, want, std::less<>> wants_;
  std::deque<std::string> first_;
  std::deque<std::string> bulk_;
  std::deque<std::vector<std::string>> groups_;
  std::map<uint64_t, call> calls_;
  uint64_t last_token_ = 0;
  int64_t scanned_to_ = 0;
  bool scanning_ = false;
  bool loaded_ = false;
  millis next_scan_{0};
  millis last_scan_{-1000000};
  millis retry_at_{0};
  millis tokens_at_{0};
  double tokens_ = 1;
  int failures_in_row_ = 0;
  int64_t writes_sent_ = 0;
  int64_t scans_sent_ = 0;
};

}  // namespace eelgrass
