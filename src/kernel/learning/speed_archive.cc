#include "kernel/learning/speed_archive.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Between two writes, and after a call that failed: calls and bytes are billed. */
constexpr millis kInterval{10000};

/** 256 VMs take about 15 KB. */
constexpr size_t kVmsPerRow = 256;

/** Holds all machines that are compared (4,096). */
constexpr size_t kMaxRows = 16;

/** Pages that are read of a table that others have filled. */
constexpr int kMaxPages = 8;

/** VMs with longer names are not stored, so that a row stays below its bound. */
constexpr size_t kMaxNameBytes = 128;

/** Bytes of one transaction; rows that exceed it are written 10 s later. */
constexpr size_t kMaxBytes = 262144;

/** A known speed that has changed by more than a tenth is written. */
const double kWrittenChange = std::log(1.1);

/** Speeds that differ by less do not affect placement enough to be worth a write. */
constexpr double kLeastSlowdown = 1.15;

/** VMs that have not been measured for this long are omitted. */
constexpr millis kRetention{3600000};

/** Age from which a measurement is no longer used as a prior. */
constexpr millis kPriorAge{600000};

/**
 * A stored measurement of this age counts as missing once there is a newer one. Otherwise VMs of
 * constant speed would never be written again, and be of no use after kPriorAge.
 */
constexpr millis kRefreshAge = kPriorAge / 2;

/** The speed may have changed since it was measured. */
constexpr double kPriorWidening = 2;
constexpr double kLeastPriorDeviation = 0.15;

/** Bounds of values that a planner writes: a factor of 20 either way. */
constexpr double kMaxSlowness = 3;
constexpr double kMaxDeviation = 3;

/** Planners know the store's time to within the duration of one call. */
constexpr millis kClockError = kStoreTimeout;

constexpr double kPercent = 100;

/** The index that a row's key names; none: not a row of the archive. */
std::optional<size_t> IndexOf(std::string_view key) {
  size_t index = 0;
  const auto [end, failure] = std::from_chars(key.data(), key.data() + key.size(), index);
  const bool whole = failure == std::errc() && end == key.data() + key.size();
  if (!whole || index >= kMaxRows || std::to_string(index) != key) return std::nullopt;
  return index;
}

row_key KeyOf(size_t index) { return {std::string(kSpeedsTable), "", std::to_string(index)}; }

/** Whether a VM can be stored under its name: the encoding may change other characters. */
bool IsStorable(std::string_view vm) {
  const auto printable = [](char c) { return c >= ' ' && c <= '~'; };
  return !vm.empty() && vm.size() <= kMaxNameBytes && std::all_of(vm.begin(), vm.end(), printable);
}

/** Why a planner cannot have written the value; empty: it can. */
std::string_view Flaw(const vm_speed_record& speed, millis store_now) {
  if (!IsStorable(speed.vm)) return "the name of a VM is malformed";
  if (!(std::abs(speed.slowness) <= kMaxSlowness)) return "a slowness is out of range";
  if (!(speed.deviation >= 0 && speed.deviation <= kMaxDeviation)) {
    return "a deviation is out of range";
  }
  if (speed.measured_ms < 0) return "a time is negative";
  if (millis(speed.measured_ms) > store_now + kClockError) return "a time is in the future";
  return "";
}

std::string_view Flaw(const speeds_record& record, millis store_now) {
  if (record.vms.size() > kVmsPerRow) return "too many VMs";
  for (const auto& speed : record.vms) {
    const std::string_view flaw = Flaw(speed, store_now);
    if (!flaw.empty()) return flaw;
  }
  return "";
}

}  // namespace

void speed_archive::BeginTerm(int64_t term, millis now) {
  term_ = term;
  pending_.reset();
  next_ = now;
  loaded_ = false;
  pages_ = 0;
  continue_at_.clear();
  rows_.assign(kMaxRows, {0, kVmsPerRow});
  stored_.clear();
}

std::optional<store_request> speed_archive::Next(const worker_speeds& speeds,
                                                 const store_clock& clock, millis now) {
  if (now < next_) return std::nullopt;
  next_ = now + kInterval;  // also abandons a call that got no answer
  pending_.reset();
  if (loaded_) return Write(speeds, clock, now);
  pending_ = --last_token_;
  sent_ = now;
  return store_request{last_token_, row_range{std::string(kSpeedsTable), "", continue_at_},
                       kStoreTimeout};
}

void speed_archive::On(const store_reply& reply, worker_speeds& speeds, const store_clock& clock,
                       millis now) {
  if (reply.token != pending_) return;
  pending_.reset();
  const auto store_now = [&](millis stated) {
    return stated > millis(0) ? stated : clock.StoreAt(now).value_or(millis(0));
  };
  if (const auto* rows = std::get_if<rows_result>(&reply.answer)) {
    OnRead(*rows, speeds, store_now(rows->store_now), now);
  } else {
    const auto& written = std::get<transaction_result>(reply.answer);
    OnWritten(written, store_now(written.store_now), now);
  }
}

void speed_archive::OnRead(const rows_result& answer, worker_speeds& speeds, millis store_now,
                           millis now) {
  if (answer.outcome != row_outcome::kDone || store_now <= millis(0)) {
    log_event("speeds-not-loaded", log_level::kWarning)
        .With("term", term_)
        .With("outcome", RowOutcomeName(answer.outcome))
        .With("took_ms", (now - sent_).count());
    return;
  }
  for (const auto& found : answer.rows) Accept(found, store_now);
  next_ = now;
  if (answer.more && !answer.rows.empty() && ++pages_ < kMaxPages) {
    continue_at_ = answer.rows.back().at.key + '!';
    return;
  }
  loaded_ = true;
  Restore(speeds, store_now, now);
}

void speed_archive::Ignore(const row& found, std::string_view reason) {
  ++ignored_rows_;
  log_event("speed-row-ignored", log_level::kWarning)
      .With("term", term_)
      .With("key", found.at.key)
      .With("revision", found.revision)
      .With("bytes", static_cast<int64_t>(found.value.size()))
      .With("reason", reason);
}

/** Takes over the content of a row; of two measurements of a VM the newer one wins. */
void speed_archive::Accept(const row& found, millis store_now) {
  const auto index = IndexOf(found.at.key);
  if (!index) return Ignore(found, "its key is not one of the archive");
  rows_[*index].revision = found.deleted ? 0 : found.revision;
  std::erase_if(stored_, [&](const auto& entry) { return entry.second.row == *index; });
  if (found.deleted) return;
  const auto record = codec_.DecodeSpeeds(found.value);
  if (!record) return Ignore(found, record.error().detail);
  const std::string_view flaw = Flaw(record.value(), store_now);
  if (!flaw.empty()) return Ignore(found, flaw);
  for (const auto& speed : record.value().vms) {
    const millis measured(speed.measured_ms);
    if (store_now - measured >= kRetention) continue;
    const auto known = stored_.find(speed.vm);
    if (known != stored_.end() && known->second.measured >= measured) continue;
    stored_[speed.vm] = {*index, speed.slowness, speed.deviation, measured};
  }
}

/** Gives the stored speeds as priors to VMs whose speed this process has not measured since. */
void speed_archive::Restore(worker_speeds& speeds, millis store_now, millis now) {
  std::map<std::string_view, millis> own;
  for (const auto& speed : speeds.Measured()) own.emplace(speed.vm, speed.measured);
  int64_t priors = 0;
  millis oldest{0};
  for (const auto& [vm, stored] : stored_) {
    const millis age = std::max(millis(0), store_now - stored.measured);
    oldest = std::max(oldest, age);
    if (age >= kPriorAge) continue;
    const millis measured = now - age;
    const auto newer = own.find(vm);
    if (newer != own.end() && newer->second + kClockError >= measured) continue;
    const double deviation = std::max(kPriorWidening * stored.deviation, kLeastPriorDeviation);
    speeds.rates().SetPrior(vm, {{stored.slowness, deviation}, measured, measured + kPriorAge});
    ++priors;
  }
  log_event("speeds-loaded")
      .With("term", term_)
      .With("vms", static_cast<int64_t>(stored_.size()))
      .With("priors", priors)
      .With("oldest_ms", oldest.count())
      .With("ignored_rows", ignored_rows_)
      .With("took_ms", (now - sent_).count());
}

std::optional<size_t> speed_archive::RowWithRoom(std::span<const size_t> counts) const {
  for (size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] < rows_[i].limit) return i;
  }
  return std::nullopt;
}

/** Brings the content of all rows up to date in writing_; returns the rows that are due. */
std::set<size_t> speed_archive::Collect(const worker_speeds& speeds, const store_clock& clock,
                                        millis store_now) {
  writing_ = stored_;
  std::erase_if(writing_,
                [&](const auto& entry) { return store_now - entry.second.measured >= kRetention; });
  std::vector<size_t> counts(kMaxRows, 0);
  for (const auto& [vm, stored] : writing_) ++counts[stored.row];
  std::set<size_t> due;
  for (const auto& speed : speeds.Measured()) {
    const millis measured = clock.StoreAt(speed.measured).value_or(millis(0));
    const bool valid = IsStorable(speed.vm) && std::abs(speed.slowness) <= kMaxSlowness;
    if (!valid || store_now - measured >= kRetention) continue;
    const auto known = writing_.find(speed.vm);
    if (known == writing_.end()) {
      const auto row = RowWithRoom(counts);
      if (!row) continue;
      ++counts[*row];
      writing_.emplace(speed.vm, stored_speed{*row, speed.slowness, speed.deviation, measured});
      due.insert(*row);
      continue;
    }
    stored_speed& stored = known->second;
    if (measured <= stored.measured) continue;
    const bool changed = std::abs(speed.slowness - stored.slowness) > kWrittenChange;
    if (changed || store_now - stored.measured >= kRefreshAge) due.insert(stored.row);
    stored = {stored.row, speed.slowness, speed.deviation, measured};
  }
  return due;
}

/** The text of a row; VMs that would exceed its bound leave it and are new to another row. */
std::string speed_archive::EncodeRow(size_t index) {
  while (true) {
    speeds_record record;
    for (const auto& [vm, speed] : writing_) {
      if (speed.row != index) continue;
      record.vms.push_back({vm, speed.slowness, speed.deviation, speed.measured.count()});
    }
    std::string text = codec_.Encode(record);
    if (text.size() <= row_bytes_ || record.vms.empty()) return text;
    rows_[index].limit = record.vms.size() * 3 / 4;
    for (size_t i = rows_[index].limit; i < record.vms.size(); ++i) {
      writing_.erase(record.vms[i].vm);
    }
  }
}

std::optional<store_request> speed_archive::Write(const worker_speeds& speeds,
                                                  const store_clock& clock, millis now) {
  const auto store_now = clock.StoreAt(now);
  if (!store_now || speeds.greatest_slowdown() < kLeastSlowdown) return std::nullopt;
  row_transaction change;
  size_t bytes = 0;
  written_rows_.clear();
  for (const size_t index : Collect(speeds, clock, *store_now)) {
    std::string text = EncodeRow(index);
    if (text.size() > row_bytes_) continue;
    if (bytes > 0 && bytes + text.size() > kMaxBytes) break;
    bytes += text.size();
    change.conditions.push_back({KeyOf(index), rows_[index].revision});
    change.writes.push_back({KeyOf(index), std::move(text)});
    written_rows_.insert(index);
  }
  if (written_rows_.empty()) return std::nullopt;
  log_event("speeds-written")
      .With("term", term_)
      .With("rows", static_cast<int64_t>(written_rows_.size()))
      .With("bytes", static_cast<int64_t>(bytes))
      .With("known", speeds.known())
      .With("slowdown_percent", static_cast<int64_t>(kPercent * speeds.greatest_slowdown()));
  pending_ = --last_token_;
  sent_ = now;
  return store_request{last_token_, std::move(change), kStoreTimeout};
}

void speed_archive::OnWritten(const transaction_result& answer, millis store_now, millis now) {
  const auto written = [this](size_t index) { return written_rows_.contains(index); };
  if (answer.outcome == row_outcome::kDone) {
    std::erase_if(stored_, [&](const auto& entry) { return written(entry.second.row); });
    millis oldest = store_now;
    for (const auto& [vm, speed] : writing_) {
      if (!written(speed.row)) continue;
      stored_[vm] = speed;
      oldest = std::min(oldest, speed.measured);
    }
    for (const size_t index : written_rows_) rows_[index].revision = answer.revision;
    log_event("speeds-stored")
        .With("term", term_)
        .With("rows", static_cast<int64_t>(written_rows_.size()))
        .With("vms", static_cast<int64_t>(stored_.size()))
        .With("oldest_ms", (store_now - oldest).count())
        .With("took_ms", (now - sent_).count());
    return;
  }
  log_event("speeds-not-stored", log_level::kWarning)
      .With("term", term_)
      .With("outcome", RowOutcomeName(answer.outcome))
      .With("took_ms", (now - sent_).count());
  if (answer.outcome != row_outcome::kConflict) return;
  // The answer states the rows as they are, which saves reading them again.
  for (const size_t index : written_rows_) {
    rows_[index].revision = 0;
    std::erase_if(stored_, [&](const auto& entry) { return entry.second.row == index; });
  }
  for (const auto& found : answer.current) {
    if (found.at.table == kSpeedsTable) Accept(found, store_now);
  }
}

}  // namespace eelgrass
