/** \file
 * What the planner reads from the store and writes to it.
 */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/batch/feed_wait_policy.h"
#include "kernel/batch/job_book.h"
#include "kernel/batch/term_election.h"
#include "kernel/batch/worker_pool.h"

namespace eelgrass {

/** What a finished write brought into the store. */
struct journal_written {
  std::vector<std::pair<std::string, batch_state>> jobs;
  std::map<std::string, int64_t> ends;  // by worker: ends up to this number
  std::vector<worker_record> workers;
  bool handed_over = false;
};

/**
 * After a takeover it reads all jobs, their progress and the workers on which runs may be; then it
 * follows new jobs by a feed and writes progress in groups. One write is under way at a time, and
 * it is sent again until its outcome is known.
 */
class planner_journal {
 public:
  planner_journal(const batch_record_codec& codec, term_election& term);

  /** Forgets everything: another entry plans. */
  void Reset();

  /** Everything that was stored when the term was taken has been read. */
  bool loaded() const { return loaded_; }

  /** Workers that the store names and the pool has not heard of yet. */
  const std::map<std::string, worker_record>& expected() const { return expected_; }

  /** A worker that the store names needs not be waited for any more. */
  void Heard(std::string_view id);

  /** A worker is gone for good: nothing can run there, and the store may forget it. */
  void Forget(std::string_view id);

  /** The newest job list is complete up to here. */
  millis followed() const { return followed_; }

  /** The calls to make now. */
  void Next(job_book& book, worker_pool& pool, millis now, std::vector<store_request>& calls);

  /** Takes an answer if it is one of the journal's. */
  bool On(const store_reply& reply, job_book& book, worker_pool& pool, millis now);

  /** An entry has just stored this row of a job: the feed would bring it later. */
  void OnAccepted(const row& accepted, job_book& book, millis now);

  /** The write that has just finished, once. */
  std::optional<journal_written> TakeWritten();

  /** The next write hands the term over. */
  void HandOver() { hand_over_ = true; }
  bool handed_over() const { return handed_over_; }

  /** Something should be written now rather than with the next group. */
  void Hurry() { hurry_ = true; }

  /** Has the term confirmed by a write that is sent after this time, which is past. */
  void ConfirmAfter(millis at) { hurry_ = hurry_ || write_sent_ <= at; }

 private:
  enum class stage { kJobs, kProgress, kWorkers, kFollowing };

  std::optional<store_request> Read(millis now);
  std::optional<store_request> Write(job_book& book, worker_pool& pool, millis now);
  void Group(job_book& book, worker_pool& pool, millis now);
  void OnRead(const rows_result& answer, job_book& book, worker_pool& pool, millis now);
  void OnFeed(const rows_result& answer, job_book& book, millis now);
  void TakeRow(const row& found, job_book& book, millis now);
  void OnWritten(const transaction_result& answer, millis now);

  const batch_record_codec& codec_;
  term_election& term_;
  stage stage_ = stage::kJobs;
  bool loaded_ = false;  // all stages have been through
  std::string continue_at_;
  int64_t read_token_ = 0;
  int64_t write_token_ = 0;
  int64_t last_token_ = 0;
  int64_t revision_ = 0;  // jobs are known up to here
  feed_wait_policy pace_;
  millis read_sent_{0};
  millis next_read_{0};
  millis followed_{INT64_MIN / 4};
  std::map<std::string, worker_record> expected_;
  std::set<std::string> gone_;  // workers whose rows are to be removed
  std::optional<row_transaction> writing_;
  journal_written group_;
  std::optional<journal_written> written_;
  millis write_sent_{0};
  millis next_write_{0};
  millis dirty_since_{kFarFuture};
  bool hurry_ = false;
  bool hand_over_ = false;
  bool handed_over_ = false;
};

}  // namespace eelgrass
