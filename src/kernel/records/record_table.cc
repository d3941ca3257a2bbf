#include "kernel/records/record_table.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr size_t kMaxWritesInFlight = 24;  // calls
constexpr size_t kMaxBulkRows = 25;        // rows of one transaction
constexpr double kMaxTokens = 20;          // writes saved up
constexpr millis kRetryPause{500};

}  // namespace

record_table::record_table(int writes_per_second, millis scan_interval)
    : writes_per_ms_(writes_per_second / 1000.0), scan_interval_(scan_interval) {}

void record_table::Want(record value, write_rank rank) {
  const std::string key = RecordKey(value);
  const auto known = wants_.find(key);
  if (known == wants_.end()) {
    wants_[key] = want{std::move(value), RevisionOf(key), rank, false, false, std::nullopt};
    Enqueue(key, rank);
  } else if (known->second.sent) {
    known->second.next = std::move(value);
  } else {
    known->second.value = std::move(value);
    known->second.expected = RevisionOf(key);
  }
}

void record_table::WantTogether(std::vector<record> values) {
  std::vector<std::string> keys;
  for (auto& value : values) {
    std::string key = RecordKey(value);
    wants_[key] =
        want{std::move(value), RevisionOf(key), write_rank::kFirst, false, false, std::nullopt};
    keys.push_back(std::move(key));
  }
  groups_.push_back(std::move(keys));
}

int64_t record_table::RevisionOf(std::string_view key) const {
  const stored_record* row = Find(key);
  return row != nullptr ? row->revision : 0;
}

bool record_table::Busy(std::string_view key) const { return wants_.find(key) != wants_.end(); }

const stored_record* record_table::Find(std::string_view key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? nullptr : &found->second;
}

std::vector<const job_row*> record_table::Jobs() const {
  std::vector<const job_row*> jobs;
  for (const auto& [key, row] : rows_) {
    if (const auto* job = std::get_if<job_row>(&row.value)) jobs.push_back(job);
  }
  return jobs;
}

void record_table::DropEnded(int64_t ended_before_ms) {
  std::erase_if(rows_, [&](const auto& entry) {
    const auto* job = std::get_if<job_row>(&entry.second.value);
    return job != nullptr && IsFinal(job->state) && job->ended_ms < ended_before_ms &&
           !Busy(entry.first);
  });
}

void record_table::Enqueue(const std::string& key, write_rank rank) {
  (rank == write_rank::kFirst ? first_ : bulk_).push_back(key);
}

void record_table::Due(millis now, std::vector<store_call>& calls) {
  SendScan(now, calls);
  SendWrites(now, calls);
}

void record_table::SendScan(millis now, std::vector<store_call>& calls) {
  if (scanning_ || now < next_scan_) return;
  scanning_ = true;
  next_scan_ = now + scan_interval_;
  ++scans_sent_;
  const uint64_t token = ++last_token_;
  calls_[token] = call{{}, {}, false, now};
  calls.push_back({token, scan_changes{scanned_to_}});
}

void record_table::SendWrites(millis now, std::vector<store_call>& calls) {
  if (now < retry_at_) return;
  const double elapsed = static_cast<double>((now - tokens_at_).count());
  tokens_ = std::min(kMaxTokens, tokens_ + elapsed * writes_per_ms_);
  tokens_at_ = now;
  while (tokens_ >= 1 && calls_.size() < kMaxWritesInFlight) {
    if (!SendGroup(now, calls) && !SendSingles(now, calls)) return;
    tokens_ -= 1;
  }
}

bool record_table::SendGroup(millis now, std::vector<store_call>& calls) {
  if (groups_.empty()) return false;
  call item;
  item.grouped = true;
  item.keys = std::move(groups_.front());
  groups_.pop_front();
  for (const auto& key : item.keys) item.values.push_back(wants_.at(key).value);
  SendCall(std::move(item), now, calls);
  return true;
}

bool record_table::SendSingles(millis now, std::vector<store_call>& calls) {
  auto& queue = first_.empty() ? bulk_ : first_;
  call item;
  while (!queue.empty() && item.keys.size() < kMaxBulkRows) {
    const std::string key = queue.front();
    const auto known = wants_.find(key);
    const bool live = known != wants_.end();
    const bool shares = live && known->second.rank == write_rank::kBulk && !known->second.alone;
    if (live && !shares && !item.keys.empty()) break;
    queue.pop_front();
    if (!live) continue;
    item.keys.push_back(key);
    item.values.push_back(known->second.value);
    if (!shares) break;
  }
  if (item.keys.empty()) return false;
  SendCall(std::move(item), now, calls);
  return true;
}

void record_table::SendCall(call item, millis now, std::vector<store_call>& calls) {
  write_records writes;
  for (size_t i = 0; i < item.keys.size(); ++i) {
    want& wanted = wants_.at(item.keys[i]);
    wanted.sent = true;
    writes.writes.push_back({wanted.expected, item.values[i]});
  }
  item.started = now;
  ++writes_sent_;
  const uint64_t token = ++last_token_;
  calls_[token] = std::move(item);
  calls.push_back({token, std::move(writes)});
}

void record_table::OnAnswer(const store_answer& answer, millis now,
                            std::vector<table_event>& events) {
  const auto found = calls_.find(answer.token);
  if (found == calls_.end()) return;
  const call item = std::move(found->second);
  calls_.erase(found);
  const bool scan = item.keys.empty();
  if (scan) scanning_ = false;
  switch (answer.status) {
    case store_status::kOk:
      failures_in_row_ = 0;
      if (scan) {
        OnScan(answer, item.started, events);
      } else {
        OnWritten(item, answer.revision, events);
      }
      return;
    case store_status::kConflict:
      failures_in_row_ = 0;
      OnConflict(item, answer, events);
      return;
    case store_status::kUnavailable:
    case store_status::kUnknown:
      ++failures_in_row_;
      if (!scan) Retry(item, now);
      return;
  }
}

void record_table::OnScan(const store_answer& answer, millis started,
                          std::vector<table_event>& events) {
  scanned_to_ =
      std::max(scanned_to_, answer.more && !answer.records.empty() ? answer.records.back().revision
                                                                   : answer.revision);
  for (const auto& row : answer.records) {
    if (!Learn(row)) continue;
    events.push_back({table_event::kind::kChanged, RecordKey(row.value), row.value, row.revision});
  }
  if (answer.more) {
    next_scan_ = millis(0);
    return;
  }
  last_scan_ = started;
  loaded_ = true;
}

bool record_table::Learn(const stored_record& row) {
  stored_record& known = rows_[RecordKey(row.value)];
  if (row.revision <= known.revision) return false;
  known = row;
  return true;
}

void record_table::OnWritten(const call& item, int64_t revision, std::vector<table_event>& events) {
  for (size_t i = 0; i < item.keys.size(); ++i) {
    const stored_record row{revision, item.values[i]};
    Learn(row);
    Settle(item.keys[i], table_event::kind::kWritten, row, events);
  }
}

void record_table::OnConflict(const call& item, const store_answer& answer,
                              std::vector<table_event>& events) {
  for (const auto& row : answer.records) Learn(row);
  const bool shared = item.keys.size() > 1 && !item.grouped;
  bool all_ours = true;
  for (size_t i = 0; i < item.keys.size(); ++i) {
    const stored_record* row = Find(item.keys[i]);
    all_ours = all_ours && row != nullptr && row->value == item.values[i];
  }
  for (size_t i = 0; i < item.keys.size(); ++i) {
    const std::string& key = item.keys[i];
    const stored_record* row = Find(key);
    const bool ours = row != nullptr && row->value == item.values[i];
    if (all_ours || (ours && !item.grouped)) {
      Settle(key, table_event::kind::kWritten, *row, events);
      continue;
    }
    if (shared) {
      const auto known = wants_.find(key);
      if (known == wants_.end()) continue;
      known->second.alone = true;
      bulk_.push_back(key);
      continue;
    }
    const stored_record none{0, item.values[i]};
    Settle(key, table_event::kind::kConflict, row != nullptr ? *row : none, events);
  }
}

void record_table::Settle(const std::string& key, table_event::kind what, const stored_record& row,
                          std::vector<table_event>& events) {
  const auto known = wants_.find(key);
  if (known == wants_.end()) return;
  want settled = std::move(known->second);
  wants_.erase(known);
  events.push_back({what, key, row.value, row.revision});
  if (what != table_event::kind::kWritten || !settled.next) return;
  wants_[key] =
      want{std::move(*settled.next), row.revision, settled.rank, false, false, std::nullopt};
  Enqueue(key, settled.rank);
}

void record_table::Retry(const call& item, millis now) {
  retry_at_ = now + kRetryPause;
  if (item.grouped) {
    groups_.push_front(item.keys);
    return;
  }
  for (const auto& key : item.keys) {
    if (wants_.find(key) == wants_.end()) continue;
    // The same content is sent again with the same condition: if the first one took effect, the
    // conflict shows our own row.
    first_.push_front(key);
  }
}

}  // namespace eelgrass
