#include "kernel/batch/planner_journal.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** Progress that nothing waits for is written in a group after this time. */
constexpr millis kGroupTime{400};

/** Maximum time between writes of the term, so that other entries see that its holder is alive. */
constexpr millis kRenewal{800};

/** Maximum entries per transaction: the store's limit of 100 less those of the term. */
constexpr size_t kMaxEntries = 90;

/**
 * No further row is added to a transaction that has this many bytes of values: with one row of 64
 * KB more, and base64, it stays below the store's limit of 1 MB per call.
 */
constexpr size_t kFullTransaction = 524288;

/** A start that other entries know of is stored if it is still open after this time. */
constexpr millis kStoredOpen{100};

size_t Bytes(const row_transaction& change) {
  size_t bytes = 0;
  for (const auto& write : change.writes) bytes += write.value.size();
  return bytes;
}

size_t Entries(const row_transaction& change) {
  return change.writes.size() + change.removals.size();
}

}  // namespace

planner_journal::planner_journal(const batch_record_codec& codec, term_election& term,
                                 size_t row_bytes)
    : codec_(codec), term_(term), row_bytes_(row_bytes) {}

void planner_journal::Reset() {
  const int64_t last_token = last_token_;
  stage_ = stage::kJobs;
  loaded_ = false;
  continue_at_.clear();
  read_token_ = write_token_ = 0;
  last_token_ = last_token;  // so that replies to earlier calls do not match later ones
  revision_ = 0;
  next_read_ = next_write_ = millis(0);
  complete_until_ = millis(INT64_MIN / 4);
  expected_.clear();
  gone_.clear();
  stored_starts_.clear();
  writing_.reset();
  group_ = {};
  written_.reset();
  dirty_since_ = kFarFuture;
  hurry_ = hand_over_ = handed_over_ = false;
}

void planner_journal::Next(job_table& jobs, worker_pool& pool, millis now,
                           std::vector<store_request>& calls) {
  if (!term_.holding()) return;
  if (auto call = Read(now)) calls.push_back(std::move(*call));
  if (auto call = Write(jobs, pool, now)) calls.push_back(std::move(*call));
}

std::optional<store_request> planner_journal::Read(millis now) {
  if (read_token_ != 0 || now < next_read_) return std::nullopt;
  read_token_ = ++last_token_;
  read_sent_ = now;
  if (stage_ == stage::kFollowing) {
    const millis wait = pace_.NextWait();
    return store_request{read_token_, row_feed{std::string(kJobsTable), revision_, wait},
                         wait + kStoreTimeout};
  }
  std::string_view table = kJobsTable;
  if (stage_ == stage::kProgress) table = kProgressTable;
  if (stage_ == stage::kWorkers) table = kWorkersTable;
  return store_request{read_token_, row_range{std::string(table), "", continue_at_}, kStoreTimeout};
}

std::optional<store_request> planner_journal::Write(job_table& jobs, worker_pool& pool,
                                                    millis now) {
  if (write_token_ != 0 || handed_over_) return std::nullopt;
  if (writing_) {
    if (now < next_write_) return std::nullopt;
    term_.RefreshGuard(*writing_);
  } else {
    const bool ends = std::any_of(pool.all().begin(), pool.all().end(), [](const auto& entry) {
      return entry.second.ends_applied > entry.second.ends_stored;
    });
    const bool waiting = loaded_ && (jobs.dirty() || ends);
    if (!waiting) dirty_since_ = kFarFuture;
    if (waiting && dirty_since_ == kFarFuture) dirty_since_ = now;
    const bool due = hurry_ || hand_over_ || (waiting && now - dirty_since_ >= kGroupTime) ||
                     now - write_sent_ >= kRenewal;
    if (!due) return std::nullopt;
    Group(jobs, pool, now);
  }
  write_token_ = ++last_token_;
  write_sent_ = now;
  return store_request{write_token_, *writing_, kStoreTimeout};
}

/** Collects pending changes into one transaction. */
void planner_journal::Group(job_table& jobs, worker_pool& pool, millis now) {
  row_transaction change;
  group_ = {};
  hurry_ = false;
  dirty_since_ = kFarFuture;
  const bool complete = AddWorkers(pool, now, change);
  if (loaded_) {
    AddProgress(jobs, kMaxEntries - std::min(kMaxEntries, Entries(change)), change);
    hurry_ = jobs.dirty() || !complete;
    // Ends count as stored only once every job that they changed is in this or an earlier group.
    if (!jobs.dirty()) {
      for (const auto& [id, worker] : pool.all()) {
        if (worker.ends_applied <= worker.ends_stored) continue;
        group_.ends.push_back({worker.profile.self, worker.ends_applied});
      }
    }
  }
  group_.handed_over = hand_over_;
  term_.Guard(change, hand_over_, now);
  writing_ = std::move(change);
}

/** The starts under a worker's id that another planner has to find in the store. */
std::vector<open_start_record> planner_journal::StartsToStore(const open_starts& starts,
                                                              std::string_view id,
                                                              millis now) const {
  std::vector<open_start_record> open;
  const auto at = starts.all().find(id);
  if (at == starts.all().end()) return open;
  for (const auto& start : at->second.starts) {
    const std::string task = ToText(start.task);
    const bool unknown = start.ordered && !start.known;
    if (start.until <= now) continue;
    if (!unknown && now - at->second.since.at(task) < kStoredOpen) continue;
    const auto until = term_.clock().StoreAt(std::min(start.until, now + kLongestOpen));
    open.push_back({task, start.run, start.process, until.value_or(millis(0)).count()});
  }
  return open;
}

/** Whether a worker's row holds exactly these starts, and none of them has to be told anew. */
bool planner_journal::HoldsStarts(const open_starts& all, const std::string& id,
                                  std::span<const open_start_record> starts) const {
  if (all.HasUnknown(id)) return false;
  std::set<run_ref> runs;
  for (const auto& start : starts) runs.insert({start.task, start.run});
  const auto stored = stored_starts_.find(id);
  return stored == stored_starts_.end() ? runs.empty() : stored->second == runs;
}

/**
 * Adds rows of workers that have changed, and removes those of workers that are gone. Returns
 * false if there are more than one write can take.
 */
bool planner_journal::AddWorkers(worker_pool& pool, millis now, row_transaction& change) {
  const auto full = [&change] {
    return Entries(change) >= kMaxEntries || Bytes(change) >= kFullTransaction;
  };
  for (auto& [id, worker] : pool.all()) {
    if (full()) return false;
    std::vector<open_start_record> starts = StartsToStore(pool.starts(), id, now);
    const bool recorded = worker.recorded || worker.recording;
    if (recorded && HoldsStarts(pool.starts(), id, starts)) continue;
    worker.recording = true;
    AddWorker({id, worker.agent, worker.profile.address, worker.profile.self.born_ms,
               worker.profile.vm, false, std::move(starts)},
              change);
  }
  // Before that, a worker that has not reported may still have a row.
  if (!loaded_) return true;
  for (const auto& [id, known] : pool.starts().all()) {
    if (full()) return false;
    std::vector<open_start_record> starts = StartsToStore(pool.starts(), id, now);
    if (pool.Find(id) != nullptr || starts.empty()) continue;
    if (HoldsStarts(pool.starts(), id, starts)) continue;
    const auto expected = expected_.find(id);
    worker_record record{id, known.agent, known.address, 0, known.vm, true};
    if (expected != expected_.end()) record = expected->second;
    record.starts = std::move(starts);
    AddWorker(std::move(record), change);
  }
  for (const auto& [id, runs] : stored_starts_) {
    if (!expected_.contains(id)) gone_.insert(id);
  }
  // A worker that is in the pool (again) may have runs: it stays in the store.
  std::erase_if(gone_, [&](const std::string& id) { return pool.Find(id) != nullptr; });
  for (auto id = gone_.begin(); id != gone_.end() && !full();) {
    if (pool.starts().all().contains(*id)) {
      ++id;
      continue;
    }
    change.removals.push_back({std::string(kWorkersTable), "", *id});
    stored_starts_.erase(*id);
    id = gone_.erase(id);
  }
  return true;
}

/** Starts that do not fit into the row are stored when others are settled. */
void planner_journal::AddWorker(worker_record record, row_transaction& change) {
  std::string text = codec_.Encode(record);
  while (text.size() > row_bytes_ && !record.starts.empty()) {
    record.starts.resize(record.starts.size() / 2);
    text = codec_.Encode(record);
  }
  std::set<run_ref> runs;
  for (const auto& start : record.starts) runs.insert({start.task, start.run});
  if (runs.empty()) {
    stored_starts_.erase(record.id);
  } else {
    stored_starts_[record.id] = std::move(runs);
  }
  change.writes.push_back({{std::string(kWorkersTable), "", record.id}, std::move(text)});
  group_.workers.push_back(std::move(record));
}

/** Adds changed rows of progress, at most this many; the others are left for the next write. */
void planner_journal::AddProgress(job_table& jobs, size_t entries, row_transaction& change) {
  size_t bytes = Bytes(change);
  for (; entries > 0 && bytes < kFullTransaction; --entries) {
    const auto row = jobs.TakeDirty();
    if (!row) return;
    const row_key at{std::string(kProgressTable), "", row->Key()};
    const auto progress = jobs.Progress(*row);
    if (!progress) {
      change.removals.push_back(at);
      continue;
    }
    change.writes.push_back({at, EncodeWithinRow(*progress)});
    bytes += change.writes.back().value.size();
    if (row->part == 0) group_.jobs.emplace_back(row->job, progress->state);
  }
}

/** Leaves checkpoints out if the row would be too large: without them a task begins anew. */
std::string planner_journal::EncodeWithinRow(job_progress progress) const {
  std::string text = codec_.Encode(progress);
  if (text.size() <= row_bytes_) return text;
  log_event("checkpoints-not-stored", log_level::kWarning)
      .With("job", progress.job)
      .With("part", progress.part)
      .With("bytes", static_cast<int64_t>(text.size()));
  for (auto& task : progress.tasks) task.saved.clear();
  return codec_.Encode(progress);
}

bool planner_journal::On(const store_reply& reply, job_table& jobs, worker_pool& pool, millis now) {
  if (reply.token == 0) return false;
  if (reply.token == read_token_) {
    read_token_ = 0;
    const auto& rows = std::get<rows_result>(reply.answer);
    if (stage_ == stage::kFollowing) {
      OnFeed(rows, jobs, now);
    } else {
      OnRead(rows, jobs, pool, now);
    }
    return true;
  }
  if (reply.token != write_token_) return false;
  write_token_ = 0;
  OnWritten(std::get<transaction_result>(reply.answer), now);
  return true;
}

void planner_journal::TakeRow(const row& found, job_table& jobs, millis now) {
  if (found.deleted) return;
  auto job = codec_.DecodeJob(found.value);
  if (!job) {
    log_event("job-row-rejected", log_level::kWarning)
        .With("key", found.at.key)
        .With("detail", job.error().detail);
    return;
  }
  if (job.value().accepted_term > term_.fence()) {
    // A later planner may have started the job already.
    return term_.StepDown("a job was accepted under a later term", now);
  }
  // The submission time preserves the job's position in the queue after a change of planner.
  const millis handed_in = job.value().handed_in;
  const auto own = handed_in > millis(0) ? term_.clock().OwnAt(handed_in) : std::nullopt;
  if (!jobs.Add(job.value(), std::min(own.value_or(now), now))) return;
  log_event("job-known")
      .With("job", found.at.key)
      .With("queue", job.value().queue)
      .With("organisation", job.value().organisation)
      .With("revision", found.revision);
}

void planner_journal::OnAccepted(const row& accepted, job_table& jobs, millis now) {
  if (stage_ != stage::kJobs || loaded_) TakeRow(accepted, jobs, now);
}

void planner_journal::OnRead(const rows_result& answer, job_table& jobs, worker_pool& pool,
                             millis now) {
  if (answer.outcome != row_outcome::kDone) {
    next_read_ = now + kStoreRetryPause;
    return;
  }
  for (const auto& found : answer.rows) {
    if (stage_ == stage::kJobs) {
      TakeRow(found, jobs, now);
    } else if (stage_ == stage::kProgress) {
      const auto progress = codec_.DecodeProgress(found.value);
      if (progress) jobs.Restore(progress.value());
    } else {
      TakeWorker(found, pool, now);
    }
  }
  if (stage_ == stage::kJobs && continue_at_.empty()) {
    revision_ = answer.revision;
    complete_until_ = read_sent_;
  }
  if (answer.more && !answer.rows.empty()) {
    continue_at_ = answer.rows.back().at.key + '!';
    return;
  }
  continue_at_.clear();
  if (stage_ == stage::kJobs && loaded_) {
    stage_ = stage::kFollowing;
  } else if (stage_ == stage::kJobs) {
    stage_ = stage::kProgress;
  } else if (stage_ == stage::kProgress) {
    stage_ = stage::kWorkers;
  } else {
    stage_ = stage::kFollowing;
    loaded_ = true;
    log_event("journal-loaded")
        .With("jobs", static_cast<int64_t>(jobs.all().size()))
        .With("open", static_cast<int64_t>(jobs.open().size()))
        .With("workers", static_cast<int64_t>(expected_.size()));
  }
}

void planner_journal::TakeWorker(const row& found, worker_pool& pool, millis now) {
  const std::string& id = found.at.key;
  const auto read = codec_.DecodeWorker(found.value);
  worker_record record = read ? read.value() : worker_record{id, "", "", 0, ""};
  open_starts_notice known;
  for (const auto& start : record.starts) {
    const auto until =
        start.until_ms > 0 ? term_.clock().OwnAt(millis(start.until_ms)) : std::nullopt;
    const millis left = until ? *until - now : kLongestOpen;
    worker_open_starts open{id, record.address, record.vm, {}, record.agent, start.agent_process};
    open.starts.push_back({start.task, start.run, left.count()});
    known.workers.push_back(std::move(open));
    stored_starts_[id].insert({start.task, start.run});
  }
  pool.starts().Learn(known, now);
  if (record.gone) {
    gone_.insert(id);
    return;
  }
  record.starts.clear();
  const pool_worker* worker = pool.Find(id);
  if (worker == nullptr || !worker->listing) expected_[id] = std::move(record);
}

void planner_journal::OnFeed(const rows_result& answer, job_table& jobs, millis now) {
  pace_.RecordOutcome(answer.outcome == row_outcome::kDone);
  if (answer.outcome == row_outcome::kHistoryGone) {
    // The jobs are read again; those already known are skipped.
    stage_ = stage::kJobs;
    return;
  }
  if (answer.outcome != row_outcome::kDone) {
    next_read_ = now + kStoreRetryPause;
    return;
  }
  for (const auto& found : answer.rows) TakeRow(found, jobs, now);
  revision_ = std::max(revision_, answer.revision);
  complete_until_ = std::max(
      complete_until_, answer.rows.empty() ? pace_.ConfirmedUntil(read_sent_, now) : read_sent_);
}

void planner_journal::OnWritten(const transaction_result& answer, millis now) {
  switch (term_.OnWritten(answer, write_sent_)) {
    case term_write::kDone:
      writing_.reset();
      handed_over_ = group_.handed_over;
      written_ = std::move(group_);
      return;
    case term_write::kTryAgain:
      next_write_ = answer.outcome == row_outcome::kConflict ? now : now + kStoreRetryPause;
      return;
    case term_write::kLost:
      term_.StepDown("the term row was changed by another entry", now);
      return;
  }
}

void planner_journal::OnWorkerReported(std::string_view id) { expected_.erase(std::string(id)); }

void planner_journal::Forget(std::string_view id) {
  expected_.erase(std::string(id));
  gone_.insert(std::string(id));
}

std::optional<journal_commit> planner_journal::TakeCommit() {
  auto written = std::move(written_);
  written_.reset();
  return written;
}

}  // namespace eelgrass
