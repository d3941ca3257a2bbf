/** \file
 * Reads the planner's state from the store and writes changes to it.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/batch/feed_wait_policy.h"
#include "kernel/batch/job_table.h"
#include "kernel/batch/term_election.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/** The contents of a completed write. */
struct journal_commit {
  std::vector<std::pair<std::string, batch_state>> jobs;
  std::vector<stored_ends> ends;
  std::vector<worker_record> workers;
  bool handed_over = false;
};

/**
 * After a takeover, loads all jobs, their progress and the workers that may have runs. Then it
 * follows new jobs through the store's row feed and writes progress in groups. At most one write is
 * in progress; it is repeated until its outcome is known.
 */
class planner_journal {
 public:
  /** `row_bytes`: the store's bound for the value of a row. */
  planner_journal(const batch_record_codec& codec, term_election& term, size_t row_bytes);

  /** Discards all state, at the start or end of a term. */
  void Reset();

  /** Whether everything stored before the term began has been loaded. */
  bool loaded() const { return loaded_; }

  /** Workers that are in the store and have not reported to this planner yet. */
  const std::map<std::string, worker_record>& expected() const { return expected_; }

  /** Removes a worker that has reported from the expected ones. */
  void OnWorkerReported(std::string_view id);

  /** Removes a worker on which nothing can run any more, also from the store. */
  void Forget(std::string_view id);

  /** Time up to which the job list is known to be complete. */
  millis complete_until() const { return complete_until_; }

  /** Appends the store calls that are due. */
  void Next(job_table& jobs, worker_pool& pool, millis now, std::vector<store_request>& calls);

  /** Handles a store reply; returns false if it does not belong to the journal. */
  bool On(const store_reply& reply, job_table& jobs, worker_pool& pool, millis now);

  /** Adds a job row that an entry has just stored, before the feed delivers it. */
  void OnAccepted(const row& accepted, job_table& jobs, millis now);

  /** Returns the write that has just completed, once. */
  std::optional<journal_commit> TakeCommit();

  /** Makes the next write hand the term over. */
  void HandOver() { hand_over_ = true; }
  bool handed_over() const { return handed_over_; }

  /** Requests a write now instead of waiting for the next group. */
  void RequestWrite() { hurry_ = true; }

  /** Requests a write unless one was sent after the given past time, to confirm the term. */
  void ConfirmAfter(millis at) { hurry_ = hurry_ || write_sent_ <= at; }

 private:
  enum class stage { kJobs, kProgress, kWorkers, kFollowing };

  std::optional<store_request> Read(millis now);
  std::optional<store_request> Write(job_table& jobs, worker_pool& pool, millis now);
  void Group(job_table& jobs, worker_pool& pool, millis now);
  std::vector<open_start_record> StartsToStore(const open_starts& starts, std::string_view id,
                                               millis now) const;
  bool HoldsStarts(const open_starts& all, const std::string& id,
                   std::span<const open_start_record> starts) const;
  bool AddWorkers(worker_pool& pool, millis now, row_transaction& change);
  void AddWorker(worker_record record, row_transaction& change);
  void TakeWorker(const row& found, worker_pool& pool, millis now);
  void AddProgress(job_table& jobs, size_t entries, row_transaction& change);
  std::string EncodeWithinRow(job_progress progress) const;
  void OnRead(const rows_result& answer, job_table& jobs, worker_pool& pool, millis now);
  void OnFeed(const rows_result& answer, job_table& jobs, millis now);
  void TakeRow(const row& found, job_table& jobs, millis now);
  void OnWritten(const transaction_result& answer, millis now);

  const batch_record_codec& codec_;
  term_election& term_;
  const size_t row_bytes_;
  stage stage_ = stage::kJobs;
  bool loaded_ = false;  // every stage has completed once
  std::string continue_at_;
  int64_t read_token_ = 0;
  int64_t write_token_ = 0;
  int64_t last_token_ = 0;
  int64_t revision_ = 0;  // store revision up to which jobs are known
  feed_wait_policy pace_;
  millis read_sent_{0};
  millis next_read_{0};
  millis complete_until_{INT64_MIN / 4};
  std::map<std::string, worker_record> expected_;
  std::set<std::string> gone_;                              // workers whose rows have to be removed
  std::map<std::string, std::set<run_ref>> stored_starts_;  // in the rows, by worker id
  std::optional<row_transaction> writing_;
  journal_commit group_;
  std::optional<journal_commit> written_;
  millis write_sent_{0};
  millis next_write_{0};
  millis dirty_since_{kFarFuture};
  bool hurry_ = false;
  bool hand_over_ = false;
  bool handed_over_ = false;
};

}  // namespace eelgrass
